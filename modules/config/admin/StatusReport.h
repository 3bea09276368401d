#pragma once

#include <config/admin/DaemonStatus.h>
#include <config/admin/EndpointStatus.h>
#include <config/admin/WaveStatus.h>
#include <core/text/Identifier.h>

#include <cstdint>
#include <vector>

namespace Greengage {

/// A daemon's answer to GET /v1/status.
struct StatusReport {
    /// The daemon that answers.
    DaemonId daemon;
    /// Newest revision of the document that this daemon has applied.
    std::uint64_t revision = 0;
    /// Newest revision that is in force everywhere: each daemon either has applied it or can no longer act on an older
    /// one.
    std::uint64_t inForceRevision = 0;
    /// Whether the store has answered this daemon recently.
    bool storeReachable = false;
    /// Whether its copy of the document is recent enough to serve queues that require a key.
    bool fresh = false;
    std::vector<DaemonStatus> daemons;
    std::vector<WaveStatus> waves;
    std::vector<EndpointStatus> endpoints;
};

} // namespace Greengage
