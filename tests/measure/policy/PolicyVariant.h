#pragma once

#include "WaveMode.h"

#include <fleet/placement/model/PlacementProfile.h>

#include <string>

namespace Greengage {

/// A named policy to measure.
struct PolicyVariant {
    std::string name;
    PlacementProfile profile;
    WaveMode wave = WaveMode::Ordered;
    /// Workers that are kept idle as a buffer for the wave.
    int idleSpares = 0;
    /// Moves between pools for each VM under maintenance.
    int movesPerVm = 0;
};

} // namespace Greengage
