#pragma once

#include <config/model/Wave.h>

namespace Greengage {

/// The failures to inject, and the settings of the wave.
struct Schedule {
    unsigned seed = 1;
    WaveAction action = WaveAction::Reboot;
    bool hasFailures = true;
    /// Whether answers to store writes may be lost although the write takes effect.
    bool losesAnswers = true;
    int drainTimeoutSeconds = 40;
};

} // namespace Greengage
