#include <cstdio>
#include <fleet/tests/simulation/SampleDocument.h>
#include <fleet/tests/simulation/SimulatedFleet.h>
#include <tests/measure/requests/Measurements.h>

namespace Greengage {

namespace {

constexpr int endpointCount = 10;

/// Offers load for 30 s to a pool in which some endpoints are unresponsive or break connections, and
/// prints a table row.
void runOnce(const char* name, double loadFraction, int unresponsiveEndpoints, double brokenAttempts)
{
    FleetOptions options;
    options.endpointsPerService = endpointCount;
    options.brokenAttempts = brokenAttempts;
    SimulatedFleet fleet(options);
    fleet.accept(makeSampleDocument(1, 1, 1000, endpointCount));
    for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon)
        fleet.start(daemon);
    fleet.run(Seconds(8));
    for (int index = 0; index < unresponsiveEndpoints; ++index)
        fleet.endpoints[static_cast<std::size_t>(index)].unresponsive = true;
    double rate = loadFraction * endpointCount * 8 / 0.2;
    double dueRequests = 0;
    for (int step = 0; step < 3000; ++step) {
        for (dueRequests += rate / 100; dueRequests >= 1; dueRequests -= 1) {
            auto daemon = static_cast<std::size_t>(fleet.pick(options.daemons));
            fleet.submit(daemon, "q0", "k0", Seconds(2), Milliseconds(100 + fleet.pick(200)));
        }
        fleet.run(Milliseconds(10));
    }
    fleet.run(Seconds(4));
    double requestsSent = 0;
    double sends = 0;
    double answered = 0;
    double unknown = 0;
    for (const auto& record : fleet.records) {
        requestsSent += record.sends > 0 ? 1 : 0;
        sends += record.sends;
        answered += record.ended && record.outcome == Outcome::Answered ? 1 : 0;
        unknown += record.ended && record.outcome == Outcome::Unknown ? 1 : 0;
    }
    auto requests = static_cast<double>(fleet.records.size());
    std::printf("| %s | %.3f | %.1f | %.1f |\n", name, sends / requestsSent, 100 * answered / requests,
        100 * unknown / requests);
}

} // namespace

void measureRetries()
{
    std::puts("\nRetries: sends for each request that was sent; 30 s, a pool of 80 slots");
    std::puts("| case | sends a request | answered % | unknown % |");
    std::puts("| --- | --- | --- | --- |");
    runOnce("half load", 0.5, 0, 0);
    runOnce("twice the pool", 2, 0, 0);
    runOnce("twice the pool, 3 of 10 endpoints silent", 2, 3, 0);
    runOnce("twice the pool, all endpoints silent", 2, endpointCount, 0);
    runOnce("half load, 3 of 10 endpoints silent", 0.5, 3, 0);
    runOnce("half load, one attempt in five breaks", 0.5, 0, 0.2);
}

} // namespace Greengage
