#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// Spans that operators of the site set.
struct CoordinatorLimits {
    /// The longest lease that workers grant.
    Milliseconds leaseLength { 6000 };
    /// How long an earlier holder's orders to VMs must have rested before this daemon gives any.
    Milliseconds dutyTerm { 3000 };
    /// How long the state of an ended job stays known.
    Milliseconds keepEndedFor { 120'000 };
};

} // namespace Greengage
