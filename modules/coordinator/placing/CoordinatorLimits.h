#pragma once

#include <core/time/Instant.h>

#include <cstdint>

namespace Greengage {

/// Limits of a coordinator from the settings of the site, and the processor time of its daemon.
struct CoordinatorLimits {
    /// The lease that workers are asked for.
    Milliseconds leaseDuration { 4000 };
    /// The longest lease that workers grant. A worker that has started again holds it after an order with a time on its
    /// former clock.
    Milliseconds longestGrantedLease { 6000 };
    /// How long a new leader waits before it sends orders to VMs, so that unfenced orders of earlier leaders have taken
    /// effect.
    Milliseconds unfencedOrderDelay { 3000 };
    /// How long the state of an ended job is kept.
    Milliseconds endedJobRetention { 120'000 };
    /// How many times as long a task takes when it runs away from its data.
    double farSlowdown = 2;
    /// Processor time of this daemon in thousandths of a core. Larger daemons are preferred as leader.
    std::int64_t cpuMillis = 1000;
};

} // namespace Greengage
