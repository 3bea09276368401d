#pragma once

#include <core/time/Deadline.h>

namespace Greengage {

/// How much of its allotment of one team this daemon has used of late.
struct TeamEscrow {
    /// Most units in use within the window that ends at `windowEnd`.
    int peak = 0;
    Deadline windowEnd;
};

} // namespace Greengage
