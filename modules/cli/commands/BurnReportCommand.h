#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

#include <string>

namespace CLI {
class App;
}

namespace Greengage {

/// `report burn`: the error budget burnt by service and team, over all daemons that are named.
class BurnReportCommand {
public:
    /// Adds the command with its options to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    std::string htmlFile;
};

} // namespace Greengage
