#include <boost/test/unit_test.hpp>
#include <standins/tests/MinionFixture.h>

using namespace Greengage;

namespace {

std::string makeBody(const std::string& call, int runMilliseconds)
{
    WorkOrder order;
    order.call = call;
    order.runMilliseconds = runMilliseconds;
    order.answerBytes = 300;
    return order.toBody(500);
}

constexpr int longRunMilliseconds = 60000;

} // namespace

BOOST_FIXTURE_TEST_SUITE(MinionStandin, MinionFixture)

BOOST_AUTO_TEST_CASE(answersWithABodyDerivedFromTheRequest)
{
    auto body = makeBody("c1", 5);
    auto answer = this->work(body).value();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == WorkOrder::answerFor(body));
    BOOST_TEST(answer.body.size() == 300);
    BOOST_TEST(answer.header("greengage-request") == "r1");
    BOOST_TEST(this->countEvents("start") == 1);
    BOOST_TEST(this->countEvents("end") == 1);
}

BOOST_AUTO_TEST_CASE(refusesWhenItsSlotsAreFull)
{
    for (int job = 0; job < 8; ++job)
        this->begin(this->makeCall("/run", makeBody("c" + std::to_string(job), longRunMilliseconds)));
    BOOST_TEST(this->waitForRunning(8));
    auto refused = this->work(makeBody("c9", 5)).value();
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.header("Greengage-Request") == "r1");
    BOOST_TEST(this->countEvents("start") == 8);
}

BOOST_AUTO_TEST_CASE(refusesWhenLeavingAndRefusesRequestsForAnotherVm)
{
    auto call = this->makeCall("/run", makeBody("c1", 5));
    call.headers.push_back({ "Greengage-Endpoint", "vm-2" });
    BOOST_TEST(this->await(call).value().status == 421);
    this->control(R"({"vm":"vm-1","leaving":true})");
    BOOST_TEST(this->work(makeBody("c1", 5)).value().status == 503);
    BOOST_TEST(this->countEvents("start") == 0);
}

BOOST_AUTO_TEST_CASE(reportsRunningWorkAndFinishesItWithoutItsConnection)
{
    {
        HttpClient shortLivedClient(this->loop.base(), "127.1.1.2");
        shortLivedClient.send(this->makeCall("/run", makeBody("c1", 400)), [](auto) {});
        BOOST_TEST(this->waitForRunning(1));
    }
    auto json = parseJsonObject(this->await(this->makeCall("/running")).value().body).value();
    BOOST_REQUIRE(json["running"].size() == 1);
    BOOST_TEST(json["running"][0]["request"].asString() == "r1");
    BOOST_TEST(json["running"][0]["team"].asString() == "dispatch");
    BOOST_TEST(this->loop.runUntil([&] { return this->countEvents("end") == 1; }, waitLimit));
    BOOST_TEST(this->work(makeBody("c2", 5)).value().status == 200);
}

BOOST_AUTO_TEST_CASE(acceptsNoMoreThanItsConnectionLimit)
{
    std::vector<std::shared_ptr<std::optional<Outcome>>> running;
    for (int job = 0; job < 64; ++job)
        running.push_back(this->begin(this->makeCall("/run", makeBody("c", longRunMilliseconds))));
    this->loop.runUntil([&] { return this->state(0)["refused"].asInt() == 56; }, waitLimit);
    BOOST_TEST(this->state(0)["connections"].asInt() == 64);
    auto call = this->makeCall("/running");
    call.freshConnection = true;
    BOOST_TEST(!this->await(call).has_value());
}

BOOST_AUTO_TEST_CASE(unfrozenEndpointRunsTheRequestsThatItAccepted)
{
    this->control(R"({"vm":"vm-1","frozen":true})");
    auto pending = this->begin(this->makeCall("/run", makeBody("c1", 5)));
    auto other = this->makeCall("/run", makeBody("c2", 5));
    other.address = "127.2.1.2";
    BOOST_TEST(this->await(other).value().status == 200);
    BOOST_TEST(!pending->has_value());
    this->control(R"({"vm":"vm-1","frozen":false})");
    this->loop.runUntil([&] { return pending->has_value(); }, waitLimit);
    BOOST_TEST((*pending)->value().status == 200);
}

BOOST_AUTO_TEST_CASE(unresponsiveConnectionStaysSoWhileNewOnesWork)
{
    BOOST_TEST(this->work(makeBody("c1", 5)).has_value());
    this->control(R"({"vm":"vm-1","silenceConnections":true})");
    auto call = this->makeCall("/run", makeBody("c2", 5));
    call.timeout = Milliseconds(300);
    auto unanswered = this->await(call);
    BOOST_REQUIRE(!unanswered.has_value());
    BOOST_TEST(unanswered.error().mayHaveBeenSent);
    BOOST_TEST(this->work(makeBody("c3", 5)).value().status == 200);
    BOOST_TEST(this->countEvents("start") == 2);
}

BOOST_AUTO_TEST_CASE(truncatedAnswerIsAFailure)
{
    this->control(R"({"vm":"vm-1","truncateAnswers":1})");
    auto cut = this->work(makeBody("c1", 5));
    BOOST_REQUIRE(!cut.has_value());
    BOOST_TEST(cut.error().mayHaveBeenSent);
    BOOST_TEST(this->work(makeBody("c2", 5)).value().status == 200);
}

BOOST_AUTO_TEST_CASE(delayedAnswerArrivesAfterTheEndOfWork)
{
    this->control(R"({"vm":"vm-1","answerDelayMs":300})");
    auto pending = this->begin(this->makeCall("/run", makeBody("c1", 5)));
    BOOST_TEST(this->loop.runUntil([&] { return this->countEvents("end") == 1; }, waitLimit));
    BOOST_TEST(!pending->has_value());
    BOOST_TEST(this->loop.runUntil([&] { return pending->has_value(); }, waitLimit));
}

BOOST_AUTO_TEST_CASE(endpointThatCrashesMidAnswerRefusesUntilRevived)
{
    this->control(R"({"vm":"vm-1","dieInNextAnswer":true})");
    BOOST_TEST(!this->work(makeBody("c1", 5)).has_value());
    auto refused = this->work(makeBody("c2", 5));
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST(!refused.error().mayHaveBeenSent);
    this->control(R"({"vm":"vm-1","revive":true})");
    BOOST_TEST(this->work(makeBody("c3", 5)).value().status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
