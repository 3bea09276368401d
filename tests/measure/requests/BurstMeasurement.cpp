#include <algorithm>
#include <cstdio>
#include <fleet/tests/simulation/SimulatedFleet.h>
#include <tests/measure/requests/Measurements.h>
#include <tests/measure/requests/SampleDocument.h>

namespace Greengage {

namespace {

constexpr int seeds = 5;
constexpr int endpointCount = 10;
constexpr int teams = 5;
/// Requests a second of one team on average; five times as many come in its burst, a twentieth else.
constexpr double meanRate = 100;
constexpr double calmRate = meanRate / 20;
constexpr double burstRate = meanRate * 5;

struct BurstRow {
    double success = 0;
    double p99Milliseconds = 0;
    double refusals = 0;
    double sends = 0;
    double bursting = 0;
};

/// Runs the teams for a while, the first of them in a burst or not, and judges the others.
BurstRow runOnce(const RequestPolicy& policy, bool burst, std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.endpointsPerService = endpointCount;
    options.policy = policy;
    SimulatedFleet fleet(options);
    fleet.accept(makeSampleDocument(1, teams, endpointCount * 8, endpointCount));
    for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon)
        fleet.start(daemon);
    fleet.run(Seconds(8));
    std::vector<double> credit(teams, 0);
    for (int step = 0; step < 3000; ++step) {
        bool inBurst = burst && step >= 500 && step < 1500;
        for (int team = 0; team < teams; ++team) {
            auto index = static_cast<std::size_t>(team);
            credit[index] += (team == 0 && inBurst ? burstRate : calmRate) * (0.5 + fleet.uniform()) / 100;
            for (; credit[index] >= 1; credit[index] -= 1) {
                auto number = std::to_string(team);
                auto daemon = static_cast<std::size_t>(fleet.pick(options.daemons));
                auto runTime = Milliseconds(100 + fleet.pick(200));
                fleet.submit(daemon, "q" + number, "k" + number, Seconds(2), runTime);
            }
        }
        fleet.run(Milliseconds(10));
    }
    fleet.run(Seconds(4));
    BurstRow row;
    std::vector<double> latencies;
    int others = 0;
    int firsts = 0;
    int firstAnswered = 0;
    double sends = 0;
    for (const auto& record : fleet.records) {
        sends += record.sends;
        bool answered = record.ended && record.outcome == Outcome::Answered;
        if (record.queue.string() == "q0") {
            firsts += 1;
            firstAnswered += answered ? 1 : 0;
            continue;
        }
        others += 1;
        if (answered)
            latencies.push_back(std::chrono::duration<double, std::milli>(record.endedAt - record.submittedAt).count());
    }
    std::sort(latencies.begin(), latencies.end());
    row.success = 100.0 * static_cast<double>(latencies.size()) / others;
    row.p99Milliseconds = latencies.empty() ? 0 : latencies[latencies.size() * 99 / 100];
    row.bursting = 100.0 * firstAnswered / firsts;
    row.sends = sends / static_cast<double>(fleet.records.size());
    for (const auto& endpoint : fleet.endpoints)
        row.refusals += endpoint.refusals;
    return row;
}

BurstRow measure(const RequestPolicy& policy, bool burst)
{
    BurstRow mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto row = runOnce(policy, burst, seed);
        mean.success += row.success / seeds;
        mean.p99Milliseconds += row.p99Milliseconds / seeds;
        mean.refusals += row.refusals / seeds;
        mean.sends += row.sends / seeds;
        mean.bursting += row.bursting / seeds;
    }
    return mean;
}

} // namespace

void measureBursts()
{
    std::printf(
        "\nBursts: one of %d teams asks five times its mean for 10 s (125%% of the pool); %d seeds\n", teams, seeds);
    std::puts(
        "| order | slots | load | others answered % | others' 99th percentile ms | refused by full endpoints | sends a "
        "request | bursting team answered % |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (auto order : { ServingOrder::FairShares, ServingOrder::FirstCome }) {
        for (auto slots : { SlotUse::Divided, SlotUse::Undivided }) {
            for (bool burst : { false, true }) {
                auto row = measure(RequestPolicy { order, slots, LimitSplit::Escrow }, burst);
                std::printf("| %s | %s | %s | %.2f | %.0f | %.0f | %.3f | %.1f |\n", nameOf(order).data(),
                    nameOf(slots).data(), burst ? "burst" : "calm", row.success, row.p99Milliseconds, row.refusals,
                    row.sends, row.bursting);
            }
        }
    }
}

} // namespace Greengage
