#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

#include <string>

namespace CLI {
class App;
}

namespace Greengage {

/// `wave start|pause|resume|rollback WAVE`: sends a command for a maintenance wave to a daemon.
class WaveCommand {
public:
    /// `verb` is the name of the command and `description` its help text.
    WaveCommand(std::string verb, std::string description);

    /// Adds the command with its options to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    std::string verb;
    std::string description;
    std::string wave;
};

} // namespace Greengage
