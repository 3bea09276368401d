#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

#include <string>

namespace CLI {
class App;
}

namespace Greengage {

/// `report burn`: reports error budget burn rates by service and team, summed over the given daemons.
class BurnReportCommand {
public:
    /// Adds the command with its options to the parent and returns it.
    CLI::App* declare(CLI::App& parent);

    Result<ExitCode, CommandError> run(CommandContext&);

private:
    std::string htmlFile;
};

} // namespace Greengage
