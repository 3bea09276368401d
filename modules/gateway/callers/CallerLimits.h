#pragma once

#include <core/time/Instant.h>

#include <cstddef>

namespace Greengage {

/// Bounds on what callers can make the daemon hold.
struct CallerLimits {
    /// Connections beyond this wait unaccepted in the kernel's backlog.
    int maxConnections = 1024;
    std::size_t maxHeaderBytes = 8 * 1024;
    std::size_t maxBodyBytes = 64 * 1024;
    /// Sum over all requests that are held.
    std::size_t maxHeldBodyBytes = 16 * 1024 * 1024;
    /// How long a connection may rest, and how long a request may take to arrive.
    Milliseconds idleTimeout { 30000 };
};

} // namespace Greengage
