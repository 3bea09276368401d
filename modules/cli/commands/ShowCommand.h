#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

#include <cstdint>
#include <string>
namespace CLI {
class App;
}

namespace Greengage {

/// `show`: the document in force, as a working copy, or an earlier revision.
class ShowCommand {
public:
    /// Adds the command with its options to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    std::int64_t revision = -1;
};

} // namespace Greengage
