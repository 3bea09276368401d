#include <cstdio>
#include <fleet/tests/simulation/SimulatedFleet.h>
#include <tests/measure/requests/Measurements.h>
#include <tests/measure/requests/SampleDocument.h>

namespace Greengage {

namespace {

constexpr int seeds = 5;
constexpr int endpointCount = 20;

/// Part of the limit in use, in percent, while the given daemons are offered more than the limit.
class LimitRun {
public:
    LimitRun(LimitSplit split, int limit, std::uint64_t seed)
        : fleet(makeOptions(split, seed))
        , limit(limit)
    {
        this->fleet.accept(makeSampleDocument(1, 1, limit, endpointCount));
        for (std::size_t daemon = 0; daemon < this->fleet.daemons.size(); ++daemon)
            this->fleet.start(daemon);
        this->fleet.run(Seconds(8));
    }

    static FleetOptions makeOptions(LimitSplit split, std::uint64_t seed)
    {
        FleetOptions options;
        options.seed = seed;
        options.endpointsPerService = endpointCount;
        options.policy.limits = split;
        return options;
    }

    /// Offers twice the limit to the first `daemons` daemons that live.
    double usedPercent(int daemons, int seconds)
    {
        double sum = 0;
        int samples = seconds * 100;
        double perSample = 2.0 * this->limit / 0.2 / 100;
        double credit = 0;
        for (int sample = 0; sample < samples; ++sample) {
            for (credit += perSample; credit >= 1; credit -= 1)
                this->submit(daemons);
            this->fleet.run(Milliseconds(10));
            sum += this->fleet.runningOf("t0");
        }
        return 100.0 * sum / samples / this->limit;
    }

    void submit(int daemons)
    {
        auto daemon = static_cast<std::size_t>(this->fleet.pick(daemons));
        if (!this->fleet.daemons[daemon].alive)
            daemon = (daemon + 1) % this->fleet.daemons.size();
        this->fleet.submit(daemon, "q0", "k0", Seconds(2), Milliseconds(100 + this->fleet.pick(200)));
    }

    SimulatedFleet fleet;
    int limit;
};

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
    std::printf("\nLimits: part of a team's limit in use under twice its load, in percent; %d seeds\n", seeds);
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
