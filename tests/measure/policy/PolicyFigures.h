#pragma once

#include <vector>

namespace Greengage {

/// What one run of one policy gave.
struct PolicyFigures {
    /// Worker-hours held idle or out of service from the start of the wave to its end.
    double bufferHours = 0;
    double rollOutSeconds = 0;
    double rollOutBoundSeconds = 0;
    double moves = 0;
    /// Mean over the time in which more was wanted than there was, and over teams, in percent of what was in use.
    double shareDistancePercent = 0;
    double urgentMedianSeconds = 0;
    double urgentWorstSeconds = 0;
    double urgentNotStarted = 0;
    /// Part of the workers' processors really in use, in percent.
    double utilisationPercent = 0;
    double failedStarts = 0;
    double checkpoints = 0;
    double batchCompleted = 0;
    bool isWaveDone = false;
};

} // namespace Greengage
