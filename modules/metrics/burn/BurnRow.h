#pragma once

#include <core/text/Identifier.h>
#include <metrics/burn/BurnWindow.h>
#include <metrics/burn/RequestCounts.h>

#include <array>

namespace Greengage {

/// Request counts of one team at one service, from which the burn rate of the service's error budget follows.
struct BurnRow {
    ServiceId service;
    TeamId team;
    /// The service's objective, in percent of requests.
    double objectivePercent = 0;
    /// Request counts, indexed by BurnWindow.
    std::array<RequestCounts, burnWindowCount> windows {};

    /// The burn rate of the error budget in a window: at a rate of 1 the budget is used up exactly at the end of the
    /// objective's period. 0 if the window has no bad requests or no requests at all.
    double burnRate(BurnWindow window) const
    {
        const auto& counts = this->windows[static_cast<std::size_t>(window)];
        if (counts.total == 0)
            return 0;
        double badFraction = static_cast<double>(counts.total - counts.good) / static_cast<double>(counts.total);
        return badFraction / (1.0 - this->objectivePercent / 100.0);
    }
};

} // namespace Greengage
