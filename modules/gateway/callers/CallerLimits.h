#pragma once

#include <core/time/Instant.h>

#include <cstddef>

namespace Greengage {

/// Limits on the connections, memory and time that callers can take up in the daemon.
struct CallerLimits {
    /// A further connection takes the place of the one that has gone longest without a complete request. While all wait
    /// for their answers or are new, it stays unaccepted in the kernel's listen backlog.
    int maxConnections = 1024;
    std::size_t maxHeaderBytes = 8 * 1024;
    std::size_t maxBodyBytes = 64 * 1024;
    /// Total body size of all requests that have not been answered.
    std::size_t maxHeldBodyBytes = 16 * 1024 * 1024;
    /// How long a connection may stay idle, and how long a request may take to arrive completely.
    Milliseconds idleTimeout { 30000 };
    /// Bytes that all connections together may hold: unread input, requests that are not answered, unread answers.
    std::size_t maxHeldBytes = std::size_t(32) * 1024 * 1024;
};

} // namespace Greengage
