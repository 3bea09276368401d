#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

#include <string>

namespace CLI {
class App;
}

namespace Greengage {

/// `history`: lists the changes with time, author and changed sections.
class HistoryCommand {
public:
    /// Adds the command with its options to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    int count = 0;
};

} // namespace Greengage
