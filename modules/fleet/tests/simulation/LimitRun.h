#pragma once

#include <fleet/tests/simulation/SimulatedFleet.h>

namespace Greengage {

/// A fleet with one team that offers twice its limit.
class LimitRun {
public:
    LimitRun(LimitSplit, int limit, std::uint64_t seed);

    /// Offers the load to the first `loadedDaemons` daemons, or the next one if one of them is dead, and gives the mean
    /// part of the limit that runs at the endpoints, in percent.
    double usedPercent(int loadedDaemons, int seconds);

    SimulatedFleet fleet;

private:
    void submit(int loadedDaemons);

    int limit;
};

} // namespace Greengage
