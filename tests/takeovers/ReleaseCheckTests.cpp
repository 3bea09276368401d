#include <tests/takeovers/ReleaseCheck.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

/// A worker that is up under a lease of 4 s, and a task of which run 1 has been ordered.
struct ReleaseCheckFixture {
    ReleaseCheckFixture()
    {
        this->worker.startedAtMs = FakeWorkers::clockMs();
        this->worker.leaseUntilMs = 4000;
        this->check(1);
    }

    std::optional<std::string> check(std::uint32_t run)
    {
        return this->releases.check(WorkerId("other"), this->order(run), "lease_expired");
    }

    StartAttempt order(std::uint32_t run) const
    {
        StartAttempt order;
        order.task = this->task;
        order.run = run;
        order.validUntilClockMs = 4000;
        return order;
    }

    FakeWorkers workers;
    FakeWorkers::Worker& worker = workers.workers[WorkerId("w")];
    ReleaseCheck releases { workers, [](const WorkerId&) { return false; },
        [this](std::int64_t token) { return token == this->tokenInOffice; } };
    std::int64_t tokenInOffice = 2;
    TaskName task { JobId("j"), 0, 0, 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReleaseChecks, ReleaseCheckFixture)

BOOST_AUTO_TEST_CASE(aRunThatHasEndedMayBeReleased)
{
    BOOST_TEST(!this->check(2).has_value());
    BOOST_TEST(this->releases.counts["lease_expired"].starts == 1U);
}

/// Guards against a check that overlooks a run which goes on at a worker.
BOOST_AUTO_TEST_CASE(aRunThatGoesOnIsFound)
{
    this->worker.running[this->task] = { 1, 4000 };
    BOOST_TEST(this->check(2).has_value());
    BOOST_TEST(this->releases.counts["lease_expired"].wrong == 1U);
}

/// Guards against a check that overlooks an order which is carried out later.
BOOST_AUTO_TEST_CASE(anOrderThatIsUnderWayIsFoundUnlessItIsRefused)
{
    this->releases.noteRenewal(WorkerId("w"), 2);
    this->releases.noteUnderWay(WorkerId("w"), this->order(1), BootClock::now() + Seconds(1));
    BOOST_TEST(this->check(2).has_value());
    this->worker.stopped.emplace(this->task, 1);
    BOOST_TEST(!this->check(3).has_value());
}

/// Guards against a finding that is excused though a leader in office has renewed the incarnation.
BOOST_AUTO_TEST_CASE(onlyALateStartBeforeTheFirstRenewalIsCountedApart)
{
    this->worker.running[this->task] = { 1, 4000 };
    this->releases.noteLateArrival(WorkerId("w"), this->order(1));
    this->releases.noteRenewal(WorkerId("w"), 1);
    BOOST_TEST(!this->check(2).has_value());
    BOOST_TEST(this->releases.counts["lease_expired"].beforeTheFirstRenewal == 1U);
    this->releases.noteRenewal(WorkerId("w"), 2);
    BOOST_TEST(this->check(3).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
