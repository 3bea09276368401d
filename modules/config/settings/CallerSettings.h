#pragma once

#include <cstdint>

namespace Greengage {

/// Settings of the HTTP server for callers.
struct CallerSettings {
    std::uint16_t port = 0;
    /// Maximum number of open connections. Further ones wait in the kernel's backlog until one is closed.
    int maxConnections = 2048;
    int maxHeaderBytes = 16 * 1024;
    int maxBodyBytes = 1024 * 1024;
    /// Time after which an idle connection is closed, in milliseconds.
    int idleTimeoutMilliseconds = 60'000;
};

} // namespace Greengage
