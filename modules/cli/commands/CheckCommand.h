#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

#include <string>

namespace CLI {
class App;
}

namespace Greengage {

/// `check FILE`: validates a document without contacting a daemon.
class CheckCommand {
public:
    /// Adds the command with its options to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    std::string file;
};

} // namespace Greengage
