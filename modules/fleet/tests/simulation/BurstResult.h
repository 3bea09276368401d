#pragma once

namespace Greengage {

/// Effect of a burst of one team on the other teams.
struct BurstResult {
    /// Percentage of the other teams' requests that were answered, and the 99th percentile of their latency.
    double othersAnsweredPercent = 0;
    double othersP99Milliseconds = 0;
    /// Percentage of the bursting team's requests that were answered.
    double burstAnsweredPercent = 0;
    /// Number of requests refused by endpoints for lack of a free slot.
    double refusals = 0;
    double sendsPerRequest = 0;
};

} // namespace Greengage
