#include <boost/test/unit_test.hpp>

#include <tests/daemon/RunningFleet.h>

namespace Greengage {

namespace {

struct ClaimFleet : RunningFleet {
    HttpReply submitOrder(int number, const std::string& key, const std::string& name)
    {
        return this->call(
            number, "pallets", { this->bearer, "Idempotency-Key: " + key }, "call=" + name + " run_ms=20\n");
    }

    void setStoreFault(const char* fault, const Json::Value& value)
    {
        Json::Value faults(Json::objectValue);
        faults[fault] = value;
        BOOST_REQUIRE(this->control(faults).status == 200);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimTests, ClaimFleet)

BOOST_AUTO_TEST_CASE(retryThroughAnotherDaemonDoesNotRunAgain)
{
    BOOST_TEST(this->submitOrder(1, "k1", "pallet").status == 200);
    HttpReply again = this->submitOrder(2, "k1", "pallet");
    BOOST_TEST(again.status == 409, again.body);
    BOOST_TEST(again.headHas("Greengage-Reason: duplicate_request"));
    BOOST_TEST(this->startCount("pallet") == 1);
    BOOST_TEST(this->submitOrder(2, "k2", "pallet").status == 200);
}

BOOST_AUTO_TEST_CASE(claimWhoseAnswerWasLostIsStillOwned)
{
    this->setStoreFault("loseWriteAnswers", 1);
    HttpReply reply = this->submitOrder(1, "k1", "pallet");
    BOOST_TEST(reply.status == 200, reply.body);
    BOOST_TEST(this->submitOrder(2, "k1", "pallet").status == 409);
    BOOST_TEST(this->startCount("pallet") == 1);
}

BOOST_AUTO_TEST_CASE(requestIsNotRunWithoutTheStore)
{
    // This request gives the daemon an allotment of the team's limit, so that in the outage only the claim is missing.
    BOOST_REQUIRE(this->submitOrder(1, "k0", "warm").status == 200);
    this->setStoreFault("outage", "refuse");
    HttpReply reply = this->call(
        1, "pallets", { this->bearer, "Idempotency-Key: k1", "Greengage-Timeout-Ms: 2000" }, "call=pallet run_ms=20\n");
    BOOST_TEST(reply.status == 503, reply.body);
    BOOST_TEST(reply.headHas("Greengage-Outcome: not_run"));
    BOOST_TEST(this->startCount("pallet") == 0);
    this->setStoreFault("outage", "none");
    FleetFixture::awaitTrue("a retry is run", [this] { return this->submitOrder(2, "k1", "pallet").status == 200; });
    BOOST_TEST(this->startCount("pallet") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Greengage
