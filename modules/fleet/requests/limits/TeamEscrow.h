#pragma once

#include <core/time/Deadline.h>

#include <limits>

namespace Greengage {

/// How much of its allotment of one team this daemon has used of late.
struct TeamEscrow {
    /// Most units in use within the window that ends at `windowEnd`.
    int peak = 0;
    Deadline windowEnd = Deadline::never();
    /// Most units that starts may fill while a peer starves. Units that come free above it are handed back.
    int startCap = std::numeric_limits<int>::max();
};

} // namespace Greengage
