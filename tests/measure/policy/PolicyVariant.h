#pragma once

#include "WaveMode.h"

#include <fleet/placement/model/PlacementProfile.h>

#include <string>

namespace Greengage {

/// One policy to measure.
struct PolicyVariant {
    std::string name;
    PlacementProfile profile;
    WaveMode wave = WaveMode::Ordered;
    /// Workers held idle as the wave's buffer.
    int heldSpares = 0;
    /// Moves between pools for each VM maintained.
    int movesPerVm = 0;
};

} // namespace Greengage
