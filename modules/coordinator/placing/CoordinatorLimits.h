#pragma once

#include <core/time/Instant.h>

#include <cstdint>

namespace Greengage {

/// Spans that operators of the site set, and what this daemon has.
struct CoordinatorLimits {
    /// The longest lease that workers grant.
    Milliseconds leaseLength { 6000 };
    /// How long an earlier holder's orders to VMs must have rested before this daemon gives any.
    Milliseconds dutyTerm { 3000 };
    /// How long the state of an ended job stays known.
    Milliseconds keepEndedFor { 120'000 };
    /// How many times as long a task takes away from its data.
    double farSlowdown = 2;
    /// Processor time of this daemon in thousandths of a core. Larger daemons place tasks before smaller ones.
    std::int64_t cpuMillis = 1000;
};

} // namespace Greengage
