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

/// Counts good and bad requests by service and team over all windows. One daemon counts what it answered itself; the
/// report sums the rows of all daemons. Nothing is kept across a restart.
class BurnTable {
public:
    /// Counts one ended request. `objectivePercent` is the service's objective now in force.
    void record(Instant now, const ServiceId&, const TeamId&, double objectivePercent, bool good);

    /// All rows by service and team; rows without a request in the longest window are left out.
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
