#pragma once

#include <core/time/Deadline.h>

#include <limits>

namespace Greengage {

/// This daemon's recent use of its allotment of one team.
struct TeamEscrow {
    /// Maximum of units in use within the window that ends at `windowEnd`.
    int peak = 0;
    Deadline windowEnd = Deadline::never();
    /// Maximum of units that may be in use when a request starts, while a peer starves. Units above it are handed back
    /// when they become free.
    int startCap = std::numeric_limits<int>::max();
};

} // namespace Greengage
