#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <store/store/StoreCallCount.h>

namespace Greengage {

class MetricsRegistry;

/// Values of the daemon that are collected when its metrics page is requested.
struct DaemonGauges {
    std::uint64_t appliedRevision = 0;
    bool storeReachable = false;
    std::size_t callerConnectionCount = 0;
    std::size_t heldCallerBytes = 0;
    std::uint64_t meshBytesSent = 0;
    std::uint64_t meshBytesReceived = 0;
    std::uint64_t ticks = 0;
    std::vector<StoreCallCount> storeCalls;

    /// Writes these values and the resource usage of the process to the registry.
    void publish(MetricsRegistry&) const;
};

} // namespace Greengage
