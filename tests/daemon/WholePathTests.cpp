#include <boost/test/unit_test.hpp>

#include <tests/daemon/RunningFleet.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>
#include <unistd.h>

namespace Greengage {

namespace {

const std::string work = "call=order run_ms=20 answer_bytes=200\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(WholePathTests, RunningFleet)

BOOST_AUTO_TEST_CASE(requestIsAnsweredThroughEveryDaemon)
{
    for (int number : { 1, 2 }) {
        HttpReply reply = this->call(number, "orders", { this->bearer }, work);
        BOOST_TEST(reply.status == 200, reply.body);
        BOOST_TEST(reply.headHas("Greengage-Outcome: answered"));
        BOOST_TEST(reply.body.size() == 200U);
    }
    BOOST_TEST(this->startCount("order") == 2);
}

BOOST_AUTO_TEST_CASE(requestsWithoutAValidKeyAreNotRun)
{
    HttpReply missing = this->call(1, "orders", {}, work);
    BOOST_TEST(missing.status == 401);
    BOOST_TEST(missing.headHas("Greengage-Reason: key_missing"));
    HttpReply wrong = this->call(2, "orders", { "Authorization: Bearer booking.wrong" }, work);
    BOOST_TEST(wrong.status == 401);
    BOOST_TEST(wrong.headHas("Greengage-Outcome: not_run"));
    BOOST_TEST(this->call(1, "unknown", { this->bearer }, work).status == 404);
    BOOST_TEST(this->startCount("order") == 0);
    BOOST_TEST(sendHttpRequest(this->daemonAddress(1), this->adminPort(), "GET", "/v1/status").status == 401);
}

BOOST_AUTO_TEST_CASE(withdrawnKeyIsRefusedByEveryDaemonOnceTheChangeIsInForce)
{
    HttpReply accepted = this->submit(1, "second", 1, this->documentText(false));
    BOOST_REQUIRE(accepted.status == 200);
    BOOST_TEST(accepted.body.find("\"inForce\":true") != std::string::npos, accepted.body);
    for (int number : { 1, 2 })
        BOOST_TEST(this->call(number, "orders", { this->bearer }, work).status == 401);
    HttpReply again = this->submit(2, "second", 1, this->documentText(false));
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body.find("\"revision\":2") != std::string::npos, again.body);
}

BOOST_AUTO_TEST_CASE(submissionWhoseAnswerWasLostIsStoredOnce)
{
    Json::Value faults(Json::objectValue);
    faults["loseWriteAnswers"] = 2;
    this->control(faults);
    HttpReply accepted = this->submit(1, "second", 1, this->documentText(false));
    BOOST_TEST(accepted.status == 200, accepted.body);
    BOOST_TEST(accepted.body.find("\"revision\":2") != std::string::npos, accepted.body);
}

BOOST_AUTO_TEST_CASE(sigtermFinishesAcceptedWorkAndStopsTheProcess)
{
    HttpReply reply;
    std::thread caller(
        [&] { reply = this->call(1, "orders", { this->bearer }, "call=long run_ms=1500 answer_bytes=64\n"); });
    FleetFixture::awaitTrue("the work has begun", [this] { return this->startCount("long") == 1; });
    this->daemon(1).signal(SIGTERM);
    caller.join();
    BOOST_TEST(reply.status == 200, reply.body);
    BOOST_TEST(reply.body.size() == 64U);
    BOOST_TEST((this->daemon(1).wait() == 0));
    BOOST_TEST(this->daemon(1).output().find("event=stopped") != std::string::npos);
    FleetFixture::awaitTrue("the other daemon has removed the member",
        [this] { return this->daemon(2).output().find("event=member_left daemon=d1") != std::string::npos; });
}

BOOST_AUTO_TEST_CASE(rollingRestartUnderLoadNeitherLosesNorRepeatsRequests)
{
    std::atomic<bool> done = false;
    int answered = 0;
    int disconnected = 0;
    int retried = 0;
    std::vector<std::string> names;
    std::thread caller([&] {
        for (int round = 0; !done; ++round) {
            std::string name = "roll" + std::to_string(round);
            HttpReply reply;
            // Like the load balancer, sends a request that was not run to the other daemon.
            for (int number = 1 + round % 2; reply.status != 200 && !done; number = 3 - number) {
                reply = this->call(number, "orders", { this->bearer }, "call=" + name + " run_ms=30 answer_bytes=64\n");
                disconnected += reply.connected && reply.status == 0 ? 1 : 0;
                retried += reply.status != 200 ? 1 : 0;
            }
            if (reply.status == 200) {
                answered += 1;
                names.push_back(name);
            }
        }
    });
    for (int number : { 1, 2 }) {
        this->daemon(number).signal(SIGTERM);
        BOOST_TEST((this->daemon(number).wait() == 0));
        this->startDaemon(number);
        this->awaitServing(number);
    }
    done = true;
    caller.join();
    BOOST_TEST(disconnected == 0);
    BOOST_TEST(retried > 0);
    BOOST_TEST(answered > 0);
    for (const std::string& name : names)
        BOOST_TEST(this->startCount(name) == 1, name);
}

BOOST_AUTO_TEST_CASE(metricsAndBurnRowsReportOutcomes)
{
    this->call(1, "orders", { this->bearer }, work);
    this->call(1, "orders", {}, work);
    this->call(1, "made-up-name", {}, work);
    HttpReply page = sendHttpRequest(this->daemonAddress(1), this->callersPort(), "GET", "/metrics");
    BOOST_TEST(page.status == 200);
    for (const char* line :
        { R"(greengage_requests_total{queue="orders",team="booking",outcome="answered",reason="none"} 1)",
            R"(greengage_requests_total{queue="orders",team="",outcome="not_run",reason="key_missing"} 1)",
            R"(greengage_store_calls_total{kind="watch"})", R"(greengage_mesh_bytes_total{direction="sent"})",
            "process_resident_memory_bytes" })
        BOOST_TEST(page.body.find(line) != std::string::npos, line);
    BOOST_TEST(page.body.find("made-up-name") == std::string::npos);
    HttpReply burn = this->admin(1, "/v1/burn");
    BOOST_TEST(burn.body.find("\"team\":\"booking\"") != std::string::npos, burn.body);
}

BOOST_AUTO_TEST_CASE(daemonStartedInAnOutageServesWithAPeersDocument)
{
    Json::Value outage(Json::objectValue);
    outage["outage"] = "refuse";
    this->control(outage);
    this->daemon(2).signal(SIGKILL);
    BOOST_REQUIRE(this->daemon(2).wait().has_value());
    this->startDaemon(2);
    this->awaitHealthy(2);
    BOOST_TEST(this->daemon(2).output().find("event=document_applied revision=1 source=peer") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SettingsCheckTests)

BOOST_AUTO_TEST_CASE(invalidSettingsAreRejectedWithTheName)
{

    ChildProcess check(
        { BINARY_ROOT "/bin/greengaged", "--check", "--settings", SOURCE_ROOT "/examples/brno/document.ini" },
        "/tmp/greengage-check-" + std::to_string(getpid()) + ".log");
    BOOST_TEST((check.wait() == 2));
    BOOST_TEST(check.output().find("unknown section") != std::string::npos, check.output());
    ChildProcess good(
        { BINARY_ROOT "/bin/greengaged", "--check", "--settings", SOURCE_ROOT "/examples/brno/daemon-1.ini" },
        "/tmp/greengage-good-" + std::to_string(getpid()) + ".log");
    BOOST_TEST((good.wait() == 0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Greengage
