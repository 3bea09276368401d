#pragma once

#include <cli/commands/ExitCode.h>

#include <string>

namespace Greengage {

/// Why a command did not do what it was asked.
struct CommandError {
    ExitCode code = ExitCode::Usage;
    /// For people; without the last newline.
    std::string message;
    /// For scripts: the daemon's JSON where it gave one, otherwise empty.
    std::string json;
};

} // namespace Greengage
