#pragma once

#include "WaveMode.h"

namespace Greengage {

/// What one wave over the five services' VMs gave.
struct ServiceWaveFigures {
    double rollOutSeconds = 0;
    /// Least time that the budgets allow at the mean time for a VM.
    double boundSeconds = 0;
    double outHours = 0;
};

/// Reboots every VM of five services of 8 to 12 VMs once, two at a time in each service and one in each zone. How long
/// each VM drains and reboots is drawn from the seed.
ServiceWaveFigures runServiceWave(int zones, WaveMode, unsigned seed);

} // namespace Greengage
