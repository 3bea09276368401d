#pragma once

#include <core/text/Identifier.h>

#include <string>
#include <vector>

namespace Greengage {

/// Progress of a maintenance wave.
struct WaveStatus {
    WaveId wave;
    /// Name of the wave's state, such as "running".
    std::string state;
    int remaining = 0;
    int done = 0;
    /// VMs that did not drain within the wave's drain timeout.
    std::vector<VmId> stuck;
};

} // namespace Greengage
