#pragma once

#include "WaveMode.h"

namespace Greengage {

/// The measured figures of one wave over the VMs of five services.
struct ServiceWaveFigures {
    double rollOutSeconds = 0;
    /// Shortest roll-out that the budgets allow if every VM takes the mean time.
    double boundSeconds = 0;
    double outOfServiceHours = 0;
};

/// Simulates a wave that reboots every VM of five services of 8 to 12 VMs once, at most two at a time in each service
/// and one in each availability zone. The time that each VM takes to drain and reboot is drawn at random from the seed.
ServiceWaveFigures runServiceWave(int zones, WaveMode, unsigned seed);

} // namespace Greengage
