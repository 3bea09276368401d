#pragma once

namespace Greengage {

/// What one daemon costs at rest, as the mean over all daemons of a site.
struct RestCost {
    /// Processor time, in percent of a core.
    double cpuPercent = 0;
    /// Resident memory, shared libraries included, in megabytes.
    double residentMegabytes = 0;
    /// Resident memory that no other process shares, in megabytes.
    double privateMegabytes = 0;
    /// Bytes exchanged with other daemons, both ways, in kilobytes a second.
    double meshKilobytesPerSecond = 0;
    /// Calls to the store a second, each watch counted as one.
    double storeCallsPerSecond = 0;
};

} // namespace Greengage
