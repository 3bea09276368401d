#pragma once

#include <core/time/Instant.h>

#include <cstddef>

namespace Greengage {

/// Limits on what the clients of one listener can make a process hold.
struct ConnectionLimits {
    std::size_t maxConnections = 1024;
    /// Bytes that all connections together may hold.
    std::size_t maxHeldBytes = std::size_t(32) * 1024 * 1024;
    /// Size of one request's headers, and what is read ahead of a request that is being served.
    std::size_t maxHeaderBytes = std::size_t(16) * 1024;
    std::size_t maxBodyBytes = std::size_t(256) * 1024;
    /// How many times a request's bytes are held while it is handled.
    std::size_t handlingCopies = 1;
    /// How long a connection without a complete request keeps its place when there are too many.
    Milliseconds replaceAfter { 100 };
    /// From the first byte of a request to the end of its headers.
    Milliseconds headerTimeout { 3000 };
    /// From the end of the headers to the end of the body.
    Milliseconds bodyTimeout { 15'000 };
    /// From an answer's start until the client has read it.
    Milliseconds writeTimeout { 15'000 };
    /// Until the first byte of a request.
    Milliseconds idleTimeout { 15'000 };
};

} // namespace Greengage
