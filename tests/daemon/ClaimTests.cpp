#include <boost/test/unit_test.hpp>

#include <tests/daemon/RunningFleet.h>

namespace Greengage {

namespace {

struct ClaimFleet : RunningFleet {
    HttpTalkReply order(int number, const std::string& key, const std::string& name)
    {
        return this->call(
            number, "pallets", { this->bearer, "Idempotency-Key: " + key }, "call=" + name + " run_ms=20\n");
    }

    void setStore(const char* fault, const Json::Value& value)
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
    BOOST_TEST(this->order(1, "k1", "pallet").status == 200);
    HttpTalkReply again = this->order(2, "k1", "pallet");
    BOOST_TEST(again.status == 409, again.body);
    BOOST_TEST(again.headHas("Greengage-Reason: duplicate_request"));
    BOOST_TEST(this->startsOf("pallet") == 1);
    BOOST_TEST(this->order(2, "k2", "pallet").status == 200);
}

BOOST_AUTO_TEST_CASE(claimWhoseAnswerWasLostIsStillOurs)
{
    this->setStore("loseWriteAnswers", 1);
    HttpTalkReply reply = this->order(1, "k1", "pallet");
    BOOST_TEST(reply.status == 200, reply.body);
    BOOST_TEST(this->order(2, "k1", "pallet").status == 409);
    BOOST_TEST(this->startsOf("pallet") == 1);
}

BOOST_AUTO_TEST_CASE(withoutTheStoreNothingIsRun)
{
    // The daemon holds a part of the team's limit from here on, so only the claim is missing in the outage.
    BOOST_REQUIRE(this->order(1, "k0", "warm").status == 200);
    this->setStore("outage", "refuse");
    HttpTalkReply reply = this->call(
        1, "pallets", { this->bearer, "Idempotency-Key: k1", "Greengage-Timeout-Ms: 2000" }, "call=pallet run_ms=20\n");
    BOOST_TEST(reply.status == 503, reply.body);
    BOOST_TEST(reply.headHas("Greengage-Outcome: not_run"));
    BOOST_TEST(this->startsOf("pallet") == 0);
    this->setStore("outage", "none");
    FleetFixture::awaitTrue("a retry is run", [this] { return this->order(2, "k1", "pallet").status == 200; });
    BOOST_TEST(this->startsOf("pallet") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Greengage
