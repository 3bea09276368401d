#include <cstdio>
#include <fleet/tests/simulation/LimitRun.h>
#include <tests/measure/requests/Measurements.h>

namespace Greengage {

namespace {

constexpr int seeds = 10;
struct LimitRow {
    double one = 0;
    double all = 0;
    double afterDeath = 0;
    double reclaimed = 0;
    double afterIdleDeath = 0;
    double calls = 0;
};

LimitRow measure(LimitSplit split, int limit)
{
    LimitRow row;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimitRun one(split, limit, seed);
        one.usedPercent(1, 2);
        row.one += one.usedPercent(1, 10) / seeds;
        LimitRun all(split, limit, seed);
        all.usedPercent(7, 2);
        int calls = all.fleet.store.calls;
        row.all += all.usedPercent(7, 10) / seeds;
        row.calls += (all.fleet.store.calls - calls) / 10.0 / seeds;
        all.fleet.kill(6);
        all.usedPercent(7, 1);
        row.afterDeath += all.usedPercent(7, 10) / seeds;
        all.usedPercent(7, 11);
        row.reclaimed += all.usedPercent(7, 5) / seeds;
        one.fleet.kill(6);
        one.usedPercent(1, 1);
        row.afterIdleDeath += one.usedPercent(1, 10) / seeds;
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
    for (auto split : { LimitSplit::Escrow, LimitSplit::EqualParts }) {
        for (int limit : { 10, 30, 100 }) {
            auto row = measure(split, limit);
            std::printf("| %s | %d | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", nameOf(split).data(), limit, row.one,
                row.all, row.afterDeath, row.reclaimed, row.afterIdleDeath, row.calls);
        }
    }
}

} // namespace Greengage
