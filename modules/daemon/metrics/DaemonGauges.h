#pragma once

#include <cstdint>
#include <vector>

#include <store/store/StoreCallCount.h>

namespace Greengage {

class MetricsRegistry;

/// Quantities of the daemon that are read when a metrics page is asked for.
struct DaemonGauges {
    std::uint64_t appliedRevision = 0;
    bool storeReachable = false;
    int callerConnections = 0;
    std::uint64_t meshBytesSent = 0;
    std::uint64_t meshBytesReceived = 0;
    std::uint64_t ticks = 0;
    std::vector<StoreCallCount> storeCalls;

    /// Writes the quantities and the process's usage into the registry.
    void publish(MetricsRegistry&) const;
};

} // namespace Greengage
