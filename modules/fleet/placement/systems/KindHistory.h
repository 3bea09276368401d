#pragma once

#include <fleet/placement/systems/SizeHistory.h>

namespace Greengage {

/// Observed ratios of actual to declared values for the jobs of one team and kind.
struct KindHistory {
    SizeHistory processors;
    SizeHistory memory;
    SizeHistory runTime;
};

} // namespace Greengage
