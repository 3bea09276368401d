#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <metrics/burn/BurnRow.h>
#include <metrics/burn/SlidingCounts.h>

#include <array>
#include <compare>
#include <map>
#include <vector>

namespace Greengage {

/// Counts good and bad requests by service and team for every window. A daemon counts only the requests that it
/// answered itself; BurnReport sums the rows of all daemons. The counts are lost on restart.
class BurnTable {
public:
    /// Counts one completed request. `objectivePercent` is the service's current objective.
    void record(Instant now, const ServiceId&, const TeamId&, double objectivePercent, bool good);

    /// Returns the rows ordered by service and team, without those that have no request in the longest window.
    std::vector<BurnRow> rows(Instant now) const;

private:
    struct Key {
        ServiceId service;
        TeamId team;

        friend auto operator<=>(const Key&, const Key&) = default;
    };

    struct Entry {
        double objectivePercent = 0;
        std::array<SlidingCounts, burnWindowCount> windows { SlidingCounts(lengthOf(BurnWindow::FiveMinutes)),
            SlidingCounts(lengthOf(BurnWindow::OneHour)), SlidingCounts(lengthOf(BurnWindow::SixHours)) };
    };

    std::map<Key, Entry> entries;
};

} // namespace Greengage
