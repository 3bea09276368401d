#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

#include <string>

namespace CLI {
class App;
}

namespace Greengage {

/// `diff FILE`: shows the differences by section and key between a working copy and its base revision.
class DiffCommand {
public:
    /// Adds the command with its options to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    std::string file;
};

} // namespace Greengage
