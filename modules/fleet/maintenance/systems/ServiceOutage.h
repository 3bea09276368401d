#pragma once

#include <core/text/Identifier.h>

#include <map>

namespace Greengage {

/// How many VMs of one service are out of service.
struct ServiceOutage {
    /// Planned and unplanned together.
    int out = 0;
    std::map<RackId, int> plannedByRack;
    std::map<ZoneId, int> plannedByZone;
};

} // namespace Greengage
