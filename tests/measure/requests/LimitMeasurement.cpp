#include <cstdio>
#include <fleet/tests/simulation/LimitRun.h>
#include <tests/measure/requests/Measurements.h>

namespace Greengage {

namespace {

constexpr int seeds = 10;

/// Percentage of a team's limit in use in each phase, and the rate of writes to the store.
struct LimitRow {
    double oneDaemon = 0;
    double allDaemons = 0;
    double afterKill = 0;
    double afterReclaim = 0;
    double afterIdleKill = 0;
    double writesPerSecond = 0;
};

LimitRow measure(LimitSplit split, int limit)
{
    LimitRow row;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimitRun oneDaemon(split, limit, seed);
        oneDaemon.usedPercent(1, 2);
        row.oneDaemon += oneDaemon.usedPercent(1, 10) / seeds;
        LimitRun allDaemons(split, limit, seed);
        allDaemons.usedPercent(7, 2);
        int callsBefore = allDaemons.fleet.store.calls;
        row.allDaemons += allDaemons.usedPercent(7, 10) / seeds;
        row.writesPerSecond += (allDaemons.fleet.store.calls - callsBefore) / 10.0 / seeds;
        allDaemons.fleet.kill(6);
        allDaemons.usedPercent(7, 1);
        row.afterKill += allDaemons.usedPercent(7, 10) / seeds;
        allDaemons.usedPercent(7, 11);
        row.afterReclaim += allDaemons.usedPercent(7, 5) / seeds;
        oneDaemon.fleet.kill(6);
        oneDaemon.usedPercent(1, 1);
        row.afterIdleKill += oneDaemon.usedPercent(1, 10) / seeds;
    }
    return row;
}

} // namespace

void measureLimits()
{
    std::printf("\nLimits: part of a team's limit in use under twice its load, in percent; seeds 1 to %d\n", seeds);
    std::puts("| split | limit | load at one daemon | at all | at all, 1 s to 11 s after one died | 22 s to 27 s after "
              "| load at one, 1 s to 11 s after an idle one died | writes a second, at all |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (auto split : { LimitSplit::Escrow, LimitSplit::EqualShares }) {
        for (int limit : { 10, 30, 100 }) {
            auto row = measure(split, limit);
            std::printf("| %s | %d | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", nameOf(split).data(), limit,
                row.oneDaemon, row.allDaemons, row.afterKill, row.afterReclaim, row.afterIdleKill, row.writesPerSecond);
        }
    }
}

} // namespace Greengage
