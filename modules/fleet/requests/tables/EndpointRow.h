#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// One endpoint that the platform lists and a pool of the document assigns to a service.
struct EndpointRow {
    VmId id;
    std::string address;
    std::uint16_t port = 0;
    ZoneId zone;
    /// Service of the pool that it stands in; empty if it stands in none.
    ServiceId service;
    /// Whether the platform still lists it.
    bool listed = false;
    /// Whether maintenance holds it out of service.
    bool draining = false;
    /// Whether it may get new work: listed as live and not draining.
    bool open = false;
    /// How many requests of this daemon it holds.
    int running = 0;
    /// Failures since the last answer.
    int consecutiveFailures = 0;
    /// When it last answered.
    Instant answeredAt = Instant::min();
    /// Until then an endpoint that keeps failing gets no work.
    Deadline setAsideUntil;
    /// Until then an endpoint that has refused for want of a slot gets no work.
    Deadline pausedUntil;
    /// When it may next be asked what it runs.
    Deadline askAgainAt;
};

} // namespace Greengage
