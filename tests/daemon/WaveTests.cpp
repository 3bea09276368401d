#include <boost/test/unit_test.hpp>

#include <tests/daemon/RunningFleet.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace Greengage {

namespace {

struct WaveFleet : RunningFleet {
    HttpReply wave(int number, const std::string& action)
    {
        return sendHttpRequest(this->daemonAddress(number), this->adminPort(), "POST", "/v1/waves/" + action,
            { "Authorization: Bearer operator" }, "{}");
    }

    bool statusHas(int number, const std::string& text)
    {
        return this->admin(number, "/v1/status").body.find(text) != std::string::npos;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WaveTests, WaveFleet)

BOOST_AUTO_TEST_CASE(waveRebootsEveryVmWhileCallersAreAnswered)
{
    std::atomic<bool> done = false;
    int answered = 0;
    int failed = 0;
    std::thread caller([&] {
        while (!done)
            (this->call(2, "orders", { this->bearer }, "call=w run_ms=20\n").status == 200 ? answered : failed) += 1;
    });
    HttpReply started = this->wave(1, "kernel/start");
    BOOST_TEST(started.status == 200, started.body);
    FleetFixture::awaitTrue(
        "the wave is done", [this] { return this->statusHas(2, R"("state":"done","stuck":[],"wave":"kernel")"); });
    done = true;
    caller.join();
    BOOST_TEST(failed == 0);
    BOOST_TEST(answered > 0);
    BOOST_TEST(this->storeCallCount("reboot") >= 4);
    BOOST_TEST(this->startCountWhileRebooting() == 0);
    BOOST_TEST(this->wave(1, "no-such-wave/start").status == 404);
    BOOST_TEST(this->wave(1, "kernel/resume").status == 409);
}

BOOST_AUTO_TEST_CASE(waveContinuesAfterTheDaemonDrivingItIsKilled)
{
    BOOST_REQUIRE(this->wave(1, "kernel/start").status == 200);
    FleetFixture::awaitTrue("the wave has begun", [this] { return this->statusHas(2, R"("state":"running")"); });
    this->daemon(1).signal(SIGKILL);
    BOOST_REQUIRE(this->daemon(1).wait().has_value());
    this->startDaemon(1);
    FleetFixture::awaitTrue(
        "the wave is done", [this] { return this->statusHas(2, R"("state":"done","stuck":[],"wave":"kernel")"); });
}

BOOST_AUTO_TEST_CASE(movedVmsAreInTheTargetPoolOfTheDocument)
{
    BOOST_REQUIRE(this->wave(2, "shrink/start").status == 200);
    FleetFixture::awaitTrue("a VM has moved",
        [this] { return this->admin(1, "/v1/document").body.find("\"author\":\"maintenance\"") != std::string::npos; });
    BOOST_TEST(this->wave(2, "shrink/pause").status == 200);
}

BOOST_AUTO_TEST_CASE(waveStartsLongAfterTheListOfVmsLastChanged)
{
    // Both daemons read the list every two seconds, so after 20 reads it has been unchanged for 20 seconds.
    int before = this->storeCallCount("vms");
    FleetFixture::awaitTrue("the list has been read often", [&] { return this->storeCallCount("vms") >= before + 20; });
    BOOST_REQUIRE(this->wave(1, "kernel/start").status == 200);
    FleetFixture::awaitTrue("a VM drains", [this] { return this->statusHas(1, R"("state":"draining")"); });
}

BOOST_AUTO_TEST_CASE(planNamesEveryVm)
{
    HttpReply plan = this->admin(1, "/v1/waves/kernel/plan");
    BOOST_TEST(plan.status == 200, plan.body);
    for (const char* vm : { "vm0", "vm1", "vm2", "vm3" })
        BOOST_TEST(plan.body.find(vm) != std::string::npos, plan.body);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Greengage
