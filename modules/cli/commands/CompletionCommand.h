#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

namespace CLI {
class App;
}

namespace Greengage {

/// `completion`: prints a bash completion script for the commands and their options.
class CompletionCommand {
public:
    /// `root` is the application whose commands the script completes. It must outlive this object.
    explicit CompletionCommand(CLI::App& root);

    /// Adds the command to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    CLI::App* root;
};

} // namespace Greengage
