#pragma once

#include <core/time/Instant.h>
#include <fleet/maintenance/MaintenanceInput.h>

namespace Greengage {

/// A message in transit.
struct FakeDelivery {
    Instant at;
    std::size_t daemon = 0;
    int incarnation = 0;
    MaintenanceInput input;
};

} // namespace Greengage
