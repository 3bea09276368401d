#pragma once

#include <cstdint>

namespace Greengage {

/// The HTTP server that callers connect to.
struct CallerSettings {
    std::uint16_t port = 0;
    /// Connections beyond this number wait in the kernel until one is closed.
    int maxConnections = 2048;
    int maxHeaderBytes = 16 * 1024;
    int maxBodyBytes = 1024 * 1024;
    /// How long a connection may be silent before it is closed, in milliseconds.
    int idleTimeoutMilliseconds = 60'000;
};

} // namespace Greengage
