#pragma once

#include <string>

namespace Greengage {

/// Why the daemon could not start.
struct DaemonError {
    std::string detail;
};

} // namespace Greengage
