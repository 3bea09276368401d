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

/// `show`: prints the newest document, or an earlier revision, as a working copy.
class ShowCommand {
public:
    /// Adds the command with its options to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    /// Negative for the newest revision.
    std::int64_t revision = -1;
};

} // namespace Greengage
