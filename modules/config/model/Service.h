#pragma once

#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// A service that endpoints offer, with its service-level objective and its availability budget.
struct Service {
    ServiceId name;
    std::string owner;
    /// Objective: the share of requests that are answered in time, in percent, above 0 and below 100.
    double objectivePercent = 99.0;
    /// Latency that an answer must keep to count as good, in milliseconds.
    int latencyObjectiveMilliseconds = 1000;
    /// How many of its VMs may be out of service at once, planned and unplanned together.
    int maxUnavailable = 1;
    /// How many of its VMs in one rack may be out by plan at once.
    int maxUnavailablePerRack = 1;
    /// How many of its VMs in one availability zone may be out by plan at once.
    int maxUnavailablePerZone = 1;
    int line = 0;
};

} // namespace Greengage
