#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// An endpoint that the platform lists and a pool of the document assigns to a service.
struct EndpointRow {
    VmId id;
    std::string address;
    std::uint16_t port = 0;
    ZoneId zone;
    /// Service of the pool that contains the endpoint; empty if no pool does.
    ServiceId service;
    /// Whether the platform still lists the VM.
    bool listed = false;
    /// Whether maintenance keeps it out of service.
    bool draining = false;
    /// Whether it may get new requests: listed as live and not draining.
    bool open = false;
    /// Number of this daemon's requests that it is running, as far as known.
    int running = 0;
    /// Number of failures since the last answer.
    int consecutiveFailures = 0;
    /// When it last answered.
    Instant answeredAt = Instant::min();
    /// Until this time the endpoint gets no requests because it kept failing.
    Deadline setAsideUntil;
    /// Until this time the endpoint gets no requests because it refused one for lack of a free slot.
    Deadline pausedUntil;
    /// When it may next be queried for its running requests.
    Deadline askAgainAt;
};

} // namespace Greengage
