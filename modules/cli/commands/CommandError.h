#pragma once

#include <cli/commands/ExitCode.h>

#include <string>

namespace Greengage {

/// Why a command failed.
struct CommandError {
    ExitCode code = ExitCode::Usage;
    /// Human-readable message, without a trailing newline.
    std::string message;
    /// Machine-readable form of the error for --json, such as the body of the daemon's answer; empty if there is none.
    std::string json;
};

} // namespace Greengage
