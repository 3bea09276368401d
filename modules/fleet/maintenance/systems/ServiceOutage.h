#pragma once

#include <core/text/Identifier.h>

#include <map>

namespace Greengage {

/// The number of VMs of one service that are out of service.
struct ServiceOutage {
    /// Planned and unplanned outages together.
    int outOfService = 0;
    std::map<RackId, int> plannedByRack;
    std::map<ZoneId, int> plannedByZone;
};

} // namespace Greengage
