#include <boost/test/unit_test.hpp>
#include <fleet/tests/PlaneFixture.h>
#include <fleet/tests/simulation/SampleDocument.h>
#include <fleet/tests/simulation/SimulatedFleet.h>
#include <map>

using namespace Greengage;

namespace {

class ClaimFixture : public PlaneFixture {
public:
    ClaimFixture() { this->startServing(); }

    std::vector<RequestOutput> submitOrder(const std::string& id, const std::string& idempotencyKey)
    {
        auto arrived = this->makeRequest(id, "orders", "k1");
        arrived.idempotencyKey = idempotencyKey;
        return this->tick(arrived);
    }

    std::vector<RequestOutput> settle(const std::string& id, ClaimResult result)
    {
        return this->tick(ClaimSettled { RequestId(id), result });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Claiming, ClaimFixture)

BOOST_AUTO_TEST_CASE(nothingIsSentBeforeTheClaimIsWon)
{
    auto outputs = this->submitOrder("r1", "pallet-7");
    BOOST_TEST(pick<SendAttempt>(outputs).empty());
    auto claim = only<WriteClaim>(outputs);
    BOOST_TEST(claim.storeKey.rfind("claims/booking/", 0) == 0);
    BOOST_TEST(claim.storeKey.find("pallet") == std::string::npos);
    BOOST_TEST(pick<SendAttempt>(this->settle("r1", ClaimResult::Won)).size() == 1);
    BOOST_TEST(pick<SendAttempt>(this->settle("r1", ClaimResult::Won)).empty());
}

BOOST_AUTO_TEST_CASE(everyOtherSettlementIsATrueNotRun)
{
    auto reasonAfter = [&](const std::string& id, ClaimResult result) {
        this->submitOrder(id, "key-" + id);
        auto outputs = this->settle(id, result);
        BOOST_TEST(pick<SendAttempt>(outputs).empty());
        auto answer = only<AnswerCaller>(outputs);
        BOOST_TEST((answer.outcome == Outcome::NotRun));
        return std::string(nameOf(answer.reason));
    };
    BOOST_TEST(reasonAfter("r1", ClaimResult::Held) == "duplicate_request");
    BOOST_TEST(reasonAfter("r2", ClaimResult::NotMade) == "claim_unavailable");
    BOOST_TEST(reasonAfter("r3", ClaimResult::Unsettled) == "claim_unavailable");
    BOOST_TEST(this->plane.describe(this->clock.current()).demand.empty());
}

BOOST_AUTO_TEST_CASE(claimedWorkIsNeverSentAgainAfterALoss)
{
    this->submitOrder("r1", "pallet-7");
    auto attempt = only<SendAttempt>(this->settle("r1", ClaimResult::Won));
    auto outputs = this->tick(ended(attempt, AttemptResult::Silent));
    BOOST_TEST(pick<SendAttempt>(outputs).empty());
    BOOST_TEST((only<AnswerCaller>(outputs).outcome == Outcome::Unknown));
    BOOST_TEST(pick<WriteClaim>(this->submitOrder("r2", "pallet-7")).size() == 1);
}

BOOST_AUTO_TEST_CASE(unsentWorkGoesOnUnderItsClaimAndLeavesItToTheNextSubmission)
{
    this->submitOrder("r1", "pallet-7");
    auto first = only<SendAttempt>(this->settle("r1", ClaimResult::Won));
    auto outputs = this->tick(ended(first, AttemptResult::NotSent));
    BOOST_TEST(pick<WriteClaim>(outputs).empty());
    auto second = only<SendAttempt>(outputs);
    BOOST_TEST((second.endpoint != first.endpoint));
    auto answer = only<AnswerCaller>(this->tick(ended(second, AttemptResult::NotSent)));
    BOOST_TEST((answer.outcome == Outcome::NotRun));
    auto again = this->submitOrder("r2", "pallet-7");
    BOOST_TEST(pick<SendAttempt>(again).size() == 1);
    BOOST_TEST(pick<WriteClaim>(this->submitOrder("r3", "pallet-7")).size() == 1);
}

BOOST_AUTO_TEST_CASE(keyWithdrawnDuringTheClaimEndsTheRequest)
{
    this->submitOrder("r1", "pallet-7");
    auto without = makeDocument(2);
    without->keys.clear();
    this->tick(DocumentApplied { without });
    auto outputs = this->settle("r1", ClaimResult::Won);
    BOOST_TEST(pick<SendAttempt>(outputs).empty());
    BOOST_TEST((only<AnswerCaller>(outputs).reason == OutcomeReason::KeyInvalid));
}

BOOST_AUTO_TEST_CASE(permissionThatLapsedDuringTheClaimHoldsTheRequestBack)
{
    this->submitOrder("r1", "pallet-7");
    this->clock.advance(Seconds(3));
    BOOST_TEST(pick<SendAttempt>(this->settle("r1", ClaimResult::Won)).empty());
    auto outputs = this->tick(StoreConfirmed { this->clock.current(), 1 });
    BOOST_TEST(pick<SendAttempt>(outputs).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr int orderSeeds = 20;
constexpr int orders = 400;

/// Submits orders, each up to four times through different daemons, while daemons die and freeze, connections break,
/// endpoints go silent and answers to claims are lost. Gives how often each order was begun.
std::map<std::string, int> playOrders(std::uint64_t seed, int& untrue)
{
    FleetOptions options;
    options.seed = seed;
    options.lostClaimAnswers = 0.1;
    options.brokenAttempts = 0.1;
    SimulatedFleet fleet(options);
    fleet.accept(makeSampleDocument(1, 1, 60, options.endpointsPerService));
    auto document = makeSampleDocument(2, 1, 60, options.endpointsPerService);
    document->queues[0].idempotent = false;
    fleet.accept(document);
    for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon)
        fleet.start(daemon);
    fleet.run(Seconds(2));
    for (int order = 0; order < orders; ++order) {
        for (int submission = 0; submission < 1 + fleet.pick(4); ++submission) {
            fleet.after(Milliseconds(fleet.pick(3000)), [&fleet, order] {
                auto daemon = static_cast<std::size_t>(fleet.pick(fleet.options.daemons));
                fleet.submit(daemon, "q0", "k0", Seconds(2), Milliseconds(100), "order-" + std::to_string(order));
            });
        }
        auto daemon = static_cast<std::size_t>(fleet.pick(options.daemons));
        if (order % 20 == 0) {
            fleet.kill(daemon);
            fleet.after(Milliseconds(800), [&fleet, daemon] { fleet.start(daemon); });
        }
        if (order % 20 == 7) {
            fleet.freeze(daemon);
            fleet.after(Milliseconds(fleet.pick(5000)), [&fleet, daemon] { fleet.wake(daemon); });
        }
        if (order % 20 == 13) {
            auto& endpoint = fleet.endpoints[static_cast<std::size_t>(fleet.pick(options.endpointsPerService))];
            endpoint.silent = !endpoint.silent;
        }
        fleet.run(Milliseconds(50));
    }
    fleet.run(Seconds(10));
    std::map<std::string, int> begun;
    for (const auto& record : fleet.records) {
        begun[record.idempotencyKey] += record.begun;
        untrue += record.saysNotRun() && record.begun > 0 ? 1 : 0;
    }
    return begun;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Orders)

BOOST_AUTO_TEST_CASE(noOrderIsBegunTwiceInRandomSchedules)
{
    int begunOnce = 0;
    for (std::uint64_t seed = 1; seed <= orderSeeds; ++seed) {
        int untrue = 0;
        for (const auto& [order, begun] : playOrders(seed, untrue)) {
            BOOST_TEST(begun <= 1, "seed " << seed << ": " << order << " was begun " << begun << " times");
            begunOnce += begun == 1 ? 1 : 0;
        }
        BOOST_TEST(untrue == 0);
    }
    BOOST_TEST(begunOnce > orderSeeds * orders / 2);
}

BOOST_AUTO_TEST_SUITE_END()
