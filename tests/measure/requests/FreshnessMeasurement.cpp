#include <algorithm>
#include <cstdio>
#include <fleet/tests/simulation/SampleDocument.h>
#include <fleet/tests/simulation/SimulatedFleet.h>
#include <functional>
#include <tests/measure/requests/Measurements.h>

namespace Greengage {

namespace {

constexpr int seeds = 20;
constexpr int endpointCount = 10;

using Disturbance = std::function<void(SimulatedFleet&)>;

/// Withdraws a key 2 s after a disturbance and returns how many seconds after the withdrawal work under the key was
/// last started.
double lastStartSeconds(const Disturbance& disturb, std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.endpointsPerService = endpointCount;
    SimulatedFleet fleet(options);
    fleet.accept(makeSampleDocument(1, 2, 60, endpointCount));
    for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon)
        fleet.start(daemon);
    auto withdrawnAt = Instant::max();
    double last = 0;
    fleet.onStart = [&](const RunningWork& work) {
        auto now = fleet.clock.current();
        if (work.team.string() == "t0" && now > withdrawnAt)
            last = std::max(last, std::chrono::duration<double>(now - withdrawnAt).count());
    };
    auto submitSteps = [&](int steps) {
        for (int step = 0; step < steps; ++step) {
            for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon)
                fleet.submit(daemon, "q0", "k0", Seconds(20), Milliseconds(50));
            fleet.run(Milliseconds(20));
        }
    };
    submitSteps(250);
    disturb(fleet);
    submitSteps(100);
    withdrawnAt = fleet.clock.current();
    auto document = makeSampleDocument(2, 2, 60, endpointCount);
    document->keys.erase(document->keys.begin());
    fleet.accept(document);
    submitSteps(1000);
    return last;
}

void measureWithdrawal(const char* name, const Disturbance& disturb)
{
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        worst = std::max(worst, lastStartSeconds(disturb, seed));
    std::printf("| %s | %.2f |\n", name, worst);
}

/// Percentage of requests at a daemon that are answered from 5 s after its availability zone is cut off, or after the
/// store goes down for all daemons.
double answeredPercentDuringOutage(bool isOpen, bool isStoreDown)
{
    FleetOptions options;
    options.endpointsPerService = endpointCount;
    SimulatedFleet fleet(options);
    auto document = makeSampleDocument(1, 2, 60, endpointCount);
    if (isOpen)
        document->queues[0].access = QueueAccess::Open;
    fleet.accept(document);
    for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon)
        fleet.start(daemon);
    fleet.run(Seconds(8));
    fleet.store.down = isStoreDown;
    if (!isStoreDown)
        fleet.cutZone("z1", true);
    fleet.run(Seconds(5));
    auto firstMeasured = fleet.records.size();
    for (int step = 0; step < 1000; ++step) {
        fleet.submit(0, "q0", isOpen ? "" : "k0", Seconds(2), Milliseconds(50));
        fleet.run(Milliseconds(20));
    }
    fleet.run(Seconds(3));
    double answered = 0;
    for (auto index = firstMeasured; index < fleet.records.size(); ++index)
        answered += fleet.records[index].outcome == Outcome::Answered ? 1 : 0;
    return 100.0 * answered / static_cast<double>(fleet.records.size() - firstMeasured);
}

} // namespace

void measureFreshness()
{
    std::printf("\nFreshness: how long after its withdrawal work under a key was still begun; seeds 1 to %d\n", seeds);
    std::puts("| state | longest, seconds |");
    std::puts("| --- | --- |");
    measureWithdrawal("all in contact", [](SimulatedFleet&) {});
    measureWithdrawal("one zone cut off before", [](SimulatedFleet& fleet) { fleet.cutZone("z1", true); });
    measureWithdrawal("one zone cut off as it is withdrawn",
        [](SimulatedFleet& fleet) { fleet.after(Milliseconds(1999), [&fleet] { fleet.cutZone("z1", true); }); });
    measureWithdrawal("a daemon frozen before, woken after 10 s", [](SimulatedFleet& fleet) {
        fleet.freeze(2);
        fleet.after(Seconds(10), [&fleet] { fleet.wake(2); });
    });
    measureWithdrawal("six daemons cut from the store", [](SimulatedFleet& fleet) {
        for (std::size_t daemon = 1; daemon < fleet.daemons.size(); ++daemon)
            fleet.daemons[daemon].storeCut = true;
    });
    std::puts("\n| what is served | answered % |");
    std::puts("| --- | --- |");
    std::printf("| keyed queue, zone cut off | %.1f |\n", answeredPercentDuringOutage(false, false));
    std::printf("| open queue, zone cut off | %.1f |\n", answeredPercentDuringOutage(true, false));
    std::printf(
        "| keyed queue, store out for all, daemons in contact | %.1f |\n", answeredPercentDuringOutage(false, true));
}

} // namespace Greengage
