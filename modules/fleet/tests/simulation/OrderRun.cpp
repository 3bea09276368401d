#include <fleet/tests/simulation/OrderRun.h>

#include <fleet/tests/simulation/SampleDocument.h>
#include <fleet/tests/simulation/SimulatedFleet.h>
#include <map>

namespace Greengage {

namespace {

constexpr int orders = 400;
constexpr int faultPeriod = 100;

void injectFault(SimulatedFleet& fleet, int order)
{
    auto daemon = static_cast<std::size_t>(fleet.pick(fleet.options.daemons));
    switch (order % faultPeriod) {
    case 0:
        fleet.kill(daemon);
        fleet.after(Milliseconds(800), [&fleet, daemon] { fleet.start(daemon); });
        break;
    case 35:
        fleet.freeze(daemon);
        fleet.after(Milliseconds(fleet.pick(5000)), [&fleet, daemon] { fleet.wake(daemon); });
        break;
    case 70: {
        auto& endpoint = fleet.endpoints[static_cast<std::size_t>(fleet.pick(fleet.options.endpointsPerService))];
        endpoint.silent = !endpoint.silent;
        break;
    }
    default:
        break;
    }
}

OrderResult evaluate(const SimulatedFleet& fleet, const std::map<std::size_t, int>& orderOf)
{
    OrderResult result;
    result.orders = orders;
    std::map<int, int> begun;
    for (const auto& [index, order] : orderOf) {
        const auto& record = fleet.records[index];
        begun[order] += record.begun;
        result.submissions += 1;
        result.unknown += record.ended && record.outcome == Outcome::Unknown ? 1 : 0;
        result.untrueNotRun += record.reportedNotRun() && record.begun > 0 ? 1 : 0;
    }
    for (const auto& [order, count] : begun) {
        result.begun += count > 0 ? 1 : 0;
        result.begunTwice += count > 1 ? 1 : 0;
    }
    return result;
}

} // namespace

OrderResult runOrders(bool withIdempotencyKeys, std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.lostClaimAnswers = 0.1;
    options.brokenAttempts = 0.1;
    SimulatedFleet fleet(options);
    auto document = makeSampleDocument(1, 1, 60, options.endpointsPerService);
    document->queues[0].idempotent = false;
    fleet.accept(document);
    for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon)
        fleet.start(daemon);
    fleet.run(Seconds(2));
    std::map<std::size_t, int> orderOf;
    for (int order = 0; order < orders; ++order) {
        auto key = withIdempotencyKeys ? "order-" + std::to_string(order) : std::string();
        int submissions = 1 + fleet.pick(4);
        for (int submission = 0; submission < submissions; ++submission) {
            fleet.after(Milliseconds(fleet.pick(3000)), [&fleet, &orderOf, order, key] {
                auto daemon = static_cast<std::size_t>(fleet.pick(fleet.options.daemons));
                if (!fleet.daemons[daemon].alive)
                    daemon = (daemon + 1) % fleet.daemons.size();
                orderOf[fleet.submit(daemon, "q0", "k0", Seconds(2), Milliseconds(100), key)] = order;
            });
        }
        injectFault(fleet, order);
        fleet.run(Milliseconds(50));
    }
    fleet.run(Seconds(10));
    return evaluate(fleet, orderOf);
}

} // namespace Greengage
