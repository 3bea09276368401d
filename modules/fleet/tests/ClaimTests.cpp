#include <boost/test/unit_test.hpp>
#include <fleet/tests/PlaneFixture.h>
#include <fleet/tests/simulation/OrderRun.h>

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

BOOST_FIXTURE_TEST_SUITE(RequestClaims, ClaimFixture)

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

BOOST_AUTO_TEST_CASE(everyOtherClaimResultEndsAsNotRun)
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

BOOST_AUTO_TEST_CASE(claimedRequestIsNeverResentAfterALostAnswer)
{
    this->submitOrder("r1", "pallet-7");
    auto attempt = only<SendAttempt>(this->settle("r1", ClaimResult::Won));
    auto outputs = this->tick(ended(attempt, AttemptResult::Silent));
    BOOST_TEST(pick<SendAttempt>(outputs).empty());
    BOOST_TEST((only<AnswerCaller>(outputs).outcome == Outcome::Unknown));
    BOOST_TEST(pick<WriteClaim>(this->submitOrder("r2", "pallet-7")).size() == 1);
}

BOOST_AUTO_TEST_CASE(unsentRequestKeepsItsClaimAndPassesItToTheNextSubmission)
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

BOOST_AUTO_TEST_CASE(permissionExpiredDuringTheClaimDelaysTheRequest)
{
    this->submitOrder("r1", "pallet-7");
    this->clock.advance(Seconds(3));
    BOOST_TEST(pick<SendAttempt>(this->settle("r1", ClaimResult::Won)).empty());
    auto outputs = this->tick(StoreConfirmed { this->clock.current(), 1 });
    BOOST_TEST(pick<SendAttempt>(outputs).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Orders)

BOOST_AUTO_TEST_CASE(noOrderIsStartedTwiceInRandomSchedules)
{
    constexpr int seeds = 20;
    int orders = 0;
    int begun = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto result = runOrders(true, seed);
        BOOST_TEST(result.begunTwice == 0, "seed " << seed << ": orders started more than once: " << result.begunTwice);
        BOOST_TEST(result.untrueNotRun == 0,
            "seed " << seed << ": submissions answered \"not run\" although an endpoint had started them: "
                    << result.untrueNotRun);
        orders += result.orders;
        begun += result.begun;
    }
    BOOST_TEST(begun > orders / 2);
}

BOOST_AUTO_TEST_SUITE_END()
