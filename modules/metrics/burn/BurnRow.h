#pragma once

#include <core/text/Identifier.h>
#include <metrics/burn/BurnWindow.h>
#include <metrics/burn/RequestCounts.h>

#include <array>

namespace Greengage {

/// What one team's requests to one service have burnt of the service's error budget.
struct BurnRow {
    ServiceId service;
    TeamId team;
    /// The service's objective, in percent of requests.
    double objectivePercent = 0;
    /// Counts by window, in the order of BurnWindow.
    std::array<RequestCounts, burnWindowCount> windows {};

    /// How fast the error budget burns in a window: 1 uses it up exactly by the end of the objective's period, 0 not at
    /// all. 0 for a window without requests.
    double burnRate(BurnWindow window) const
    {
        const auto& counts = this->windows[static_cast<std::size_t>(window)];
        if (counts.total == 0)
            return 0;
        double badShare = static_cast<double>(counts.total - counts.good) / static_cast<double>(counts.total);
        return badShare / (1.0 - this->objectivePercent / 100.0);
    }
};

} // namespace Greengage
