#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

namespace CLI {
class App;
}

namespace Greengage {

/// `completion`: a script that lets bash complete the commands and their options.
class CompletionCommand {
public:
    /// `root` is the whole command line, whose commands are completed.
    explicit CompletionCommand(CLI::App& root);

    /// Adds the command to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    CLI::App* root;
};

} // namespace Greengage
