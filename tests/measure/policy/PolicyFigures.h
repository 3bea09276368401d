#pragma once

#include <vector>

namespace Greengage {

/// The measured figures of one run of one policy.
struct PolicyFigures {
    /// Worker-hours held idle or out of service from the start of the wave to its end.
    double bufferHours = 0;
    double rollOutSeconds = 0;
    double rollOutBoundSeconds = 0;
    double moves = 0;
    /// Distance of a team from its entitled share, in percent of the resources in use: the mean over all teams and over
    /// the time in which demand exceeded capacity.
    double shareDistancePercent = 0;
    double urgentMedianSeconds = 0;
    double urgentWorstSeconds = 0;
    double urgentNotStarted = 0;
    /// Mean usage of the workers' resources, in percent: the sum of the teams' dominant shares.
    double utilisationPercent = 0;
    double failedStarts = 0;
    double checkpoints = 0;
    double batchCompleted = 0;
    bool isWaveDone = false;
};

} // namespace Greengage
