#include <fleet/tests/simulation/BurstRun.h>

#include <algorithm>
#include <fleet/tests/simulation/SampleDocument.h>
#include <fleet/tests/simulation/SimulatedFleet.h>

namespace Greengage {

namespace {

constexpr int endpointCount = 10;
constexpr int teams = 5;
/// Mean rate of one team in requests per second.
constexpr double meanRate = 100;
constexpr double calmRate = meanRate / 20;
constexpr double burstRate = meanRate * 5;
constexpr int stepsPerSecond = 100;

void offerLoad(SimulatedFleet& fleet, bool burst)
{
    std::vector<double> credit(teams, 0);
    for (int step = 0; step < 30 * stepsPerSecond; ++step) {
        bool inBurst = burst && step >= 5 * stepsPerSecond && step < 15 * stepsPerSecond;
        for (std::size_t team = 0; team < teams; ++team) {
            double rate = team == 0 && inBurst ? burstRate : calmRate;
            credit[team] += rate * (0.5 + fleet.uniform()) / stepsPerSecond;
            for (; credit[team] >= 1; credit[team] -= 1) {
                auto number = std::to_string(team);
                auto daemon = static_cast<std::size_t>(fleet.pick(fleet.options.daemons));
                auto runTime = Milliseconds(100 + fleet.pick(200));
                fleet.submit(daemon, "q" + number, "k" + number, Seconds(2), runTime);
            }
        }
        fleet.run(Milliseconds(1000 / stepsPerSecond));
    }
    fleet.run(Seconds(4));
}

BurstResult evaluate(const SimulatedFleet& fleet)
{
    std::vector<double> latencies;
    double otherRequests = 0;
    double burstRequests = 0;
    double burstAnswered = 0;
    BurstResult result;
    for (const auto& record : fleet.records) {
        result.sendsPerRequest += record.sends / static_cast<double>(fleet.records.size());
        bool answered = record.ended && record.outcome == Outcome::Answered;
        if (record.queue.string() == "q0") {
            burstRequests += 1;
            burstAnswered += answered ? 1 : 0;
            continue;
        }
        otherRequests += 1;
        if (answered)
            latencies.push_back(std::chrono::duration<double, std::milli>(record.endedAt - record.submittedAt).count());
    }
    std::sort(latencies.begin(), latencies.end());
    result.othersAnsweredPercent = 100.0 * static_cast<double>(latencies.size()) / otherRequests;
    result.othersP99Milliseconds = latencies.empty() ? 0 : latencies[latencies.size() * 99 / 100];
    result.burstAnsweredPercent = 100.0 * burstAnswered / burstRequests;
    for (const auto& endpoint : fleet.endpoints)
        result.refusals += endpoint.refusals;
    return result;
}

} // namespace

BurstResult runBurst(const RequestPolicy& policy, bool burst, std::uint64_t seed)
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
    offerLoad(fleet, burst);
    return evaluate(fleet);
}

} // namespace Greengage
