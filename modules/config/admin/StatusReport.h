#pragma once

#include <config/admin/DaemonStatus.h>
#include <config/admin/EndpointStatus.h>
#include <config/admin/WaveStatus.h>
#include <core/text/Identifier.h>

#include <cstdint>
#include <vector>

namespace Greengage {

/// What a daemon answers to GET /v1/status.
struct StatusReport {
    /// The daemon that was asked.
    DaemonId daemon;
    /// Newest revision of the document that it has applied.
    std::uint64_t revision = 0;
    /// Newest revision that every daemon has applied, or can no longer act without.
    std::uint64_t inForceRevision = 0;
    /// Whether the store has answered it of late.
    bool storeReachable = false;
    /// Whether what it knows is new enough to serve queues that need a key.
    bool fresh = false;
    std::vector<DaemonStatus> daemons;
    std::vector<WaveStatus> waves;
    std::vector<EndpointStatus> endpoints;
};

} // namespace Greengage
