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

/// `apply FILE`: submits a working copy and waits until it is in force.
class ApplyCommand {
public:
    /// Adds the command with its options to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    std::string file;
    std::string author;
    /// Negative if the option --base is absent.
    std::int64_t baseRevision = -1;
};

} // namespace Greengage
