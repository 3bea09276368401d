#pragma once

#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// A service provided by endpoints, with its service-level objective and its availability budget.
struct Service {
    ServiceId name;
    std::string owner;
    /// Target share of requests that are answered in time, in percent, above 0 and below 100.
    double objectivePercent = 99.0;
    /// Maximum latency of an answer that counts as in time, in milliseconds.
    int latencyObjectiveMilliseconds = 1000;
    /// Maximum number of its VMs that may be out of service at once, planned and unplanned together.
    int maxUnavailable = 1;
    /// Maximum number of its VMs in one rack that may be in planned maintenance at once.
    int maxUnavailablePerRack = 1;
    /// Maximum number of its VMs in one availability zone that may be in planned maintenance at once.
    int maxUnavailablePerZone = 1;
    int line = 0;
};

} // namespace Greengage
