#pragma once

namespace Greengage {

/// What a burst of one team did to the others.
struct BurstResult {
    /// Part of the other teams' requests that were answered, in percent, and the 99th percentile of their latency.
    double othersAnsweredPercent = 0;
    double othersP99Milliseconds = 0;
    /// Part of the bursting team's requests that were answered, in percent.
    double burstAnsweredPercent = 0;
    /// How often an endpoint refused for want of a slot.
    double refusals = 0;
    double sendsPerRequest = 0;
};

} // namespace Greengage
