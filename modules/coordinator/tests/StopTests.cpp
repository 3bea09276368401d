#include <coordinator/tests/CoordinatorFixture.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

/// Workers that have started again since the start orders of four tasks were lost. The attempts are in doubt, and are
/// stopped before their tasks may start again.
struct StopFixture : CoordinatorFixture {
    /// The time in which a task with room for it has to run again.
    static constexpr Milliseconds bound { 3000 };

    StopFixture()
    {
        this->first->coordinator.start();
        this->runUntil([this] { return this->first->coordinator.isLeader(); });
        this->submit(*this->first, this->job("warm", 1));
        this->runUntil([this] { return this->isCompleted("warm"); });
        this->workers.taskLength = Milliseconds(20'000);
        this->first->link.lostStartTimeout = Milliseconds(400);
    }

    /// Has the start orders of four tasks lost, and the workers started again.
    void bringAttemptsInDoubt()
    {
        this->first->link.loseStarts = 16;
        JobRecord record = this->job("j", 4);
        record.spec.steps.front().longRunning = true;
        this->submit(*this->first, record);
        BOOST_REQUIRE(this->runUntil([this] { return this->first->link.loseStarts <= 12; }));
        for (const auto& info : FakeDaemon::directory())
            this->workers.restart(info.id);
        this->runUntil([this] { return this->first->link.loseStarts == 0; }, Milliseconds(700));
        this->first->link.loseStarts = 0;
    }

    bool areAllRunning() const { return this->workers.starts == 5U; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Stops, StopFixture)

BOOST_AUTO_TEST_CASE(tasksStartAgainAfterStopOrdersThatWereRefused)
{
    this->first->link.refuseStops = 8;
    this->bringAttemptsInDoubt();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->link.refuseStops == 0; }));
    BOOST_TEST(this->runUntil([this] { return this->areAllRunning(); }, bound));
    BOOST_TEST(this->workers.startedTwice.empty());
}

BOOST_AUTO_TEST_CASE(tasksStartAgainAfterStopOrdersWhoseAnswersWereLost)
{
    this->first->link.loseStopAnswers = 8;
    this->bringAttemptsInDoubt();
    BOOST_TEST(this->runUntil([this] { return this->areAllRunning(); }, bound));
    BOOST_TEST(this->first->link.loseStopAnswers == 0);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// The worker is cut off while its attempts are being stopped, so they end with its lease.
BOOST_AUTO_TEST_CASE(tasksStartElsewhereIfTheWorkerIsCutOffBeforeItIsToldToStop)
{
    this->first->link.refuseStops = 1000;
    this->bringAttemptsInDoubt();
    this->runFor(Milliseconds(500));
    this->first->link.refuseStops = 0;
    this->first->link.unreachable = { WorkerId("w1"), WorkerId("w2") };
    this->runFor(Milliseconds(500));
    this->first->link.unreachable = { WorkerId("w1") };
    auto expiry = FakeDaemon::longestGrantedLease + Milliseconds(1500);
    BOOST_TEST(this->runUntil([this] { return this->areAllRunning(); }, expiry + bound));
    BOOST_TEST(this->workers.startedTwice.empty());
}

BOOST_AUTO_TEST_SUITE_END()
