#include <coordinator/tests/CoordinatorFixture.h>

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>
#include <vector>

using namespace Greengage;

namespace {

/// Tasks whose former run the leader may know too little of.
struct FormerRunFixture : CoordinatorFixture {
    FormerRunFixture()
    {
        this->first->coordinator.start();
        this->runUntil([this] { return this->first->coordinator.isLeader(); });
        this->submit(*this->first, this->job("warm", 1));
        this->runUntil([this] { return this->isCompleted("warm"); });
        this->first->link.lostStartTimeout = Milliseconds(400);
    }

    /// Has the next leader begin, for which the directory lists all workers but this one, which it cannot reach.
    void handOverWithout(const WorkerId& id)
    {
        this->second = this->makeDaemon("second", "1");
        this->second->link.unreachable = { id };
        this->second->coordinator.onWorkerWatchNeeded([this, id](bool isNeeded) {
            auto listed = FakeDaemon::directory();
            std::erase_if(listed, [&id](const WorkerInfo& info) { return info.id == id; });
            if (isNeeded)
                this->second->coordinator.setWorkers(listed);
        });
        this->second->coordinator.start();
        this->runFor(Milliseconds(100));
        this->first->coordinator.resign();
        BOOST_REQUIRE(this->runUntil([this] { return this->second->coordinator.isLeader(); }));
    }

    /// Has a worker start again after it has reported the end of a task and before that is stored, and its new
    /// incarnation carry out an order that was held up.
    void restartBeforeEndsAreStored()
    {
        this->workers.lengthOf = [](const TaskName& task) { return Milliseconds(task.job == JobId("late") ? 1 : 100); };
        this->first->link.lateStarts = 1;
        this->first->link.lateStartDelay = Milliseconds(350);
        this->submit(*this->first, this->job("late", 1));
        BOOST_REQUIRE(this->runUntil([this] { return this->first->link.heldUpAt.has_value(); }));
        this->runFor(Milliseconds(100));
        this->submit(*this->first, this->job("ended", 1));
        BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
        WorkerId worker = this->busiestWorker();
        BOOST_REQUIRE(this->runUntil([this] { return this->workers.done.contains({ JobId("ended"), 0, 0, 0 }); }));
        this->first->store.isRefusing = true;
        this->runFor(Milliseconds(10));
        this->workers.restart(worker);
        BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 3U; }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FormerRuns, FormerRunFixture)

/// Guards against a task that runs twice at once: the next leader learns neither from the roster nor from the directory
/// that the worker has started again and may hold the longest lease.
BOOST_AUTO_TEST_CASE(aRestartIsOnTheRosterBeforeTheNewIncarnationGetsATask)
{
    this->workers.longestLease = FakeDaemon::longestGrantedLease;
    this->workers.lengthOf
        = [](const TaskName& task) { return Milliseconds(task.job == JobId("lasting") ? 20'000 : 20); };
    this->runFor(Milliseconds(2500));
    // Orders whose times are ahead on the clocks of the later incarnations.
    this->first->link.lateStarts = 2;
    this->first->link.lateStartDelay = Milliseconds(60);
    JobRecord held = this->job("held", 2);
    held.spec.steps.front().perWorkerLimit = 1;
    this->submit(*this->first, held);
    BOOST_REQUIRE(this->runUntil([this] { return this->first->link.lateStarts == 0; }));
    for (const auto& info : FakeDaemon::directory())
        this->workers.restart(info.id);
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 3U; }));
    this->first->store.losesWritesOf = StoreKeys::workerRoster;
    for (auto info : FakeDaemon::directory()) {
        info.incarnationUnixMs = this->workers.workers[info.id].incarnationUnixMs;
        this->first->coordinator.updateWorker(info);
    }
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("held"); }));
    JobRecord lasting = this->job("lasting", 1);
    lasting.spec.steps.front().longRunning = true;
    this->submit(*this->first, lasting);
    this->submit(*this->first, this->job("short", 1));
    this->runFor(Milliseconds(300));
    this->handOverWithout(this->busiestWorker());
    this->runFor(Milliseconds(7000));
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.startedJobs.contains(JobId("lasting")));
}

/// Guards against a task that runs twice at once: a worker that is on no readable roster and in no directory counts as
/// one that holds no lease.
BOOST_AUTO_TEST_CASE(tasksOfUnknownWorkersWaitForTheLongestLeaseIfTheRosterIsUnreadable)
{
    this->workers.longestLease = FakeDaemon::longestGrantedLease;
    this->workers.taskLength = Milliseconds(20'000);
    this->submit(*this->first, this->job("lasting", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    this->runFor(Milliseconds(300));
    this->tables.items[StoreKeys::workerRoster].value = "{}";
    this->handOverWithout(this->busiestWorker());
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 3U; }, Milliseconds(12'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a task that runs twice at once: the next leader adopts an older run of it from the first report of a
/// worker, and forgets the stored placement on one that it cannot reach.
BOOST_AUTO_TEST_CASE(anOlderRunInTheFirstReportHidesNoStoredPlacement)
{
    this->workers.longestLease = FakeDaemon::longestGrantedLease;
    this->workers.taskLength = Milliseconds(20'000);
    TaskName task { JobId("lasting"), 0, 0, 0 };
    this->submit(*this->first, this->job("lasting", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    this->runFor(Milliseconds(300));
    WorkerId placed = this->busiestWorker();
    WorkerId other(placed == WorkerId("w1") ? "w2" : "w1");
    // As if it were being stopped.
    auto& older = this->workers.workers[other];
    older.running[task] = { 1, FakeWorkers::clockOf(older) + 20'000 };
    this->handOverWithout(placed);
    this->runFor(Milliseconds(200));
    this->workers.endTask(other, task, EndKind::Stopped);
    this->runFor(Milliseconds(1500));
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 3U; }, Milliseconds(12'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a task that starts again after it is done: a probe shows the restart, and the next renewal
/// acknowledges ends of the former incarnation to the new one.
BOOST_AUTO_TEST_CASE(endsAreNotAcknowledgedOnceAProbeHasReachedALaterIncarnation)
{
    this->restartBeforeEndsAreStored();
    this->runFor(Milliseconds(80));
    this->first->store.isRefusing = false;
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("late"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against progress that is older than the last start: the store applies a third of the writes late, and
/// some of them when the next leader has begun.
BOOST_AUTO_TEST_CASE(writesThatAreAppliedLateStartNoTaskTwice)
{
    std::mt19937 random(1);
    auto lateness = [&random]() -> std::optional<Milliseconds> {
        if (random() % 3)
            return std::nullopt;
        return Milliseconds(random() % 2 ? random() % 30 : random() % 3000);
    };
    this->workers.lengthOf = [&random](const TaskName&) { return Milliseconds(20 + random() % 1500); };
    this->second = this->makeDaemon("second", "1");
    this->second->coordinator.start();
    this->first->store.lateness = lateness;
    this->second->store.lateness = lateness;
    for (int index = 0; index < 120; ++index) {
        JobRecord record = this->job("j" + std::to_string(index), 1 + random() % 4);
        record.spec.steps.front().gang = random() % 2;
        record.spec.steps.front().longRunning = !record.spec.steps.front().gang && random() % 3 == 0;
        auto& leader = this->first->coordinator.isLeader() ? *this->first : *this->second;
        leader.jobService.submit(record, Deadline::after(BootClock::now(), Milliseconds(500)), [](auto) {});
        this->runFor(Milliseconds(50));
        if (index % 40 == 39) {
            leader.store.isUnresponsive = true;
            this->runFor(Milliseconds(4000));
            leader.store.isUnresponsive = false;
        }
    }
    BOOST_TEST_MESSAGE("starts: " << this->workers.starts);
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts > 100U);
}

BOOST_AUTO_TEST_SUITE_END()
