#include <coordinator/tests/CoordinatorFixture.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

constexpr std::int64_t clockStepMs = 5000;

/// Workers that run the four tasks of a job, and start again after their clocks were set back.
struct ClockFixture : CoordinatorFixture {
    ClockFixture()
    {
        for (const auto& info : FakeDaemon::directory())
            this->workers.workers[info.id].incarnationUnixMs = 2 * clockStepMs;
        this->first->coordinator.onWorkerWatchNeeded([this](bool isNeeded) {
            if (isNeeded)
                this->first->coordinator.setWorkers(this->entries());
        });
        this->first->coordinator.start();
        this->workers.taskLength = Milliseconds(20'000);
        this->submit(*this->first, this->job("j", 4));
        BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 4U; }));
        this->runFor(Milliseconds(1500));
        this->earlierEntries = this->entries();
        this->workers.taskLength = Milliseconds(2500);
        for (const auto& info : FakeDaemon::directory())
            this->workers.restart(info.id, -clockStepMs);
    }

    /// The entries that the workers' current incarnations write.
    std::vector<WorkerInfo> entries()
    {
        auto entries = FakeDaemon::directory();
        for (auto& info : entries)
            info.incarnationUnixMs = this->workers.workers[info.id].incarnationUnixMs;
        return entries;
    }

    void update(const std::vector<WorkerInfo>& entries)
    {
        for (const auto& info : entries)
            this->first->coordinator.updateWorker(info);
    }

    std::vector<WorkerInfo> earlierEntries;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerClocks, ClockFixture)

/// Guards against tasks that count as running for ever: the reports of their worker's new incarnation looked older.
BOOST_AUTO_TEST_CASE(tasksStartAgainIfTheClockWasSetBackBeforeARestart)
{
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 8U; }, Milliseconds(2500)));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// The same if the new incarnation writes its entry before it reports.
BOOST_AUTO_TEST_CASE(tasksStartAgainIfAnEntryShowsTheRestartFirst)
{
    this->update(this->entries());
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 8U; }, Milliseconds(2500)));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a task that runs twice at once: an entry of the former incarnation, whose start time is later, taken
/// for another restart.
BOOST_AUTO_TEST_CASE(anEntryOfAFormerIncarnationChangesNothing)
{
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 8U; }, Milliseconds(2500)));
    this->runFor(Milliseconds(1200));
    this->update(this->earlierEntries);
    this->first->coordinator.setWorkers(this->earlierEntries);
    this->update(this->entries());
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }, Milliseconds(3000)));
    BOOST_TEST(this->workers.starts == 8U);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same: an order to the former incarnation that is held up until after the restart.
BOOST_AUTO_TEST_CASE(anOrderHeldUpForSecondsStartsNothingInTheNewIncarnation)
{
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 8U; }, Milliseconds(2500)));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("j"); }));
    this->workers.taskLength = Milliseconds(6000);
    this->first->link.lostStartTimeout = Milliseconds(400);
    this->first->link.lateStarts = 1;
    this->first->link.lateStartDelay = Milliseconds(3000);
    this->submit(*this->first, this->job("late", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 9U; }));
    this->workers.restart(*this->first->link.heldUpAt, -clockStepMs / 2);
    this->runFor(Milliseconds(3500));
    BOOST_TEST(this->workers.starts == 9U);
    BOOST_TEST(this->workers.startedTwice.empty());
}

BOOST_AUTO_TEST_SUITE_END()
