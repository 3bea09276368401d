#pragma once

#include <fleet/placement/systems/SizeHistory.h>

namespace Greengage {

/// What has been seen of the jobs of one team and kind.
struct KindHistory {
    SizeHistory processors;
    SizeHistory memory;
    SizeHistory runTime;
};

} // namespace Greengage
