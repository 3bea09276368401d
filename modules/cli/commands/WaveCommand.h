#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

#include <string>

namespace CLI {
class App;
}

namespace Greengage {

/// `wave start|pause|resume|rollback WAVE`: tells the daemons what to do with a wave.
class WaveCommand {
public:
    /// `verb` is the command's name, `purpose` its help.
    WaveCommand(std::string verb, std::string purpose);

    /// Adds the command with its options to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    std::string verb;
    std::string purpose;
    std::string wave;
};

} // namespace Greengage
