#pragma once

namespace Greengage {

/// The cost of one daemon without requests, as the mean over all daemons of a site.
struct IdleCost {
    /// Processor time, in percent of one core.
    double cpuPercent = 0;
    /// Resident memory, shared libraries included, in megabytes.
    double residentMegabytes = 0;
    /// Resident memory that no other process shares, in megabytes.
    double privateMegabytes = 0;
    /// Traffic with other daemons, both directions together, in kilobytes per second.
    double meshKilobytesPerSecond = 0;
    /// Calls to the store per second; each watch counts as one.
    double storeCallsPerSecond = 0;
};

} // namespace Greengage
