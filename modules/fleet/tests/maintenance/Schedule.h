#pragma once

#include <config/model/Wave.h>

namespace Greengage {

/// Which failures a schedule brings about.
struct Schedule {
    unsigned seed = 1;
    WaveAction action = WaveAction::Reboot;
    bool hasFailures = true;
    /// Loses store writes without their effect being undone.
    bool losesAnswers = true;
    int drainTimeoutSeconds = 40;
};

} // namespace Greengage
