#pragma once

#include <core/text/Identifier.h>

#include <string>
#include <vector>

namespace Greengage {

/// How far a maintenance wave has come.
struct WaveStatus {
    WaveId wave;
    /// Name of the wave's state, such as "running".
    std::string state;
    int remaining = 0;
    int done = 0;
    /// VMs that would not drain in time.
    std::vector<VmId> stuck;
};

} // namespace Greengage
