#pragma once

#include <fleet/tests/simulation/SimulatedFleet.h>

namespace Greengage {

/// A fleet with one team whose offered load is twice its limit.
class LimitRun {
public:
    LimitRun(LimitSplit, int limit, std::uint64_t seed);

    /// Sends the load to the first `loadedDaemons` daemons, or to the next one if one of them has been killed. Returns
    /// the mean use of the limit at the endpoints in percent.
    double usedPercent(int loadedDaemons, int seconds);

    SimulatedFleet fleet;

private:
    void submit(int loadedDaemons);

    int limit;
};

} // namespace Greengage
