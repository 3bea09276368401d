#include <coordinator/tests/CoordinatorFixture.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

/// Workers that crash and start again under their ids.
struct RestartFixture : CoordinatorFixture {
    RestartFixture()
    {
        this->workers.taskLength = Milliseconds(1000);
        this->first->coordinator.start();
        this->runUntil([this] { return this->first->coordinator.isLeader(); });
        this->submit(*this->first, this->job("warm", 1));
        this->runUntil([this] { return this->isCompleted("warm"); });
        this->first->link.lostStartTimeout = Milliseconds(400);
    }

    /// Submits a job of four tasks, whose first start orders are all lost.
    void submitWithLostOrders()
    {
        this->first->link.loseStarts = 4;
        this->submit(*this->first, this->job("j", 4));
        BOOST_REQUIRE(this->runUntil([this] { return this->first->link.loseStarts == 0; }));
    }

    void restartWorkers(std::int64_t laterByMs = 1)
    {
        for (const auto& info : FakeDaemon::directory())
            this->workers.restart(info.id, laterByMs);
    }

    /// Submits a job of one task, whose first start order arrives late and whose further ones are lost.
    void submitWithAHeldUpOrder(Milliseconds delay = Milliseconds(3000))
    {
        this->workers.taskLength = Milliseconds(6000);
        this->first->link.lateStarts = 1;
        this->first->link.lateStartDelay = delay;
        this->submit(*this->first, this->job("j", 1));
        BOOST_REQUIRE(this->runUntil([this] { return this->first->link.heldUpAt.has_value(); }));
    }

    /// Has the workers start again, and one of them carry out start orders, before anything tells of the restart.
    /// Returns that worker.
    WorkerId startOnAnIncarnationThatIsNotKnown()
    {
        this->workers.longestLease = FakeDaemon::longestGrantedLease;
        this->workers.taskLength = Milliseconds(5800);
        this->submitWithLostOrders();
        this->first->link.loseRenewals = 1000;
        this->restartWorkers();
        BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 5U; }));
        return this->busiestWorker();
    }

    /// The entries that the workers' current incarnations write.
    std::vector<WorkerInfo> entries()
    {
        auto entries = FakeDaemon::directory();
        for (auto& info : entries)
            info.incarnationUnixMs = this->workers.workers[info.id].incarnationUnixMs;
        return entries;
    }

    /// Has the workers write their entries again, as they do a while after their start.
    void listWorkers()
    {
        for (const auto& info : this->entries())
            this->first->coordinator.updateWorker(info);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerRestarts, RestartFixture)

/// Guards against a task that runs twice at once: a crashed worker, started again under its id, carries out start
/// orders that were repeated before its restart was known.
BOOST_AUTO_TEST_CASE(tasksThatTheNewIncarnationRunsAreNotStartedElsewhere)
{
    this->submitWithLostOrders();
    this->restartWorkers();
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 5U; }));
    this->listWorkers();
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 5U);
}

/// Guards against tasks that start again after they are done: renewals that count ends of the crashed incarnation make
/// the new one forget ends that nobody has read.
BOOST_AUTO_TEST_CASE(endsOfTheNewIncarnationAreNotForgottenUnread)
{
    this->submit(*this->first, this->job("warmer", 8));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("warmer"); }));
    this->workers.taskLength = Milliseconds(20);
    this->submitWithLostOrders();
    this->restartWorkers();
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same if the worker restarts while no call is under way to it.
BOOST_AUTO_TEST_CASE(endsOfAnIncarnationThatNoCallHasShownAreNotForgottenUnread)
{
    this->workers.lengthOf = [](const TaskName& task) { return Milliseconds(task.step == 0 ? 200 : 0); };
    JobRecord chain = this->job("j", 1);
    chain.spec.steps.push_back(chain.spec.steps.front());
    chain.spec.steps.back().after = { 0 };
    this->submit(*this->first, chain);
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    WorkerId id = this->busiestWorker();
    auto& worker = this->workers.workers[id];
    std::uint64_t reported = worker.reportedEnds;
    BOOST_REQUIRE(this->runUntil([&] { return worker.reportedEnds > reported; }));
    this->workers.restart(id);
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.acknowledgedUnread.empty());
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 3U);
}

/// Guards against a report more for each end that a start follows, which acknowledges nothing.
BOOST_AUTO_TEST_CASE(startsThatTheKnownIncarnationAcceptedHoldUpNoAcknowledgement)
{
    std::size_t unacknowledging = 0;
    this->first->link.onRenewed = [this, &unacknowledging](const WorkerId& id) {
        const auto& worker = this->workers.workers[id];
        unacknowledging += !worker.ended.empty() && worker.ended.front().number <= worker.reportedEnds ? 1 : 0;
    };
    this->workers.taskLength = Milliseconds(100);
    constexpr std::uint32_t tasks = 20;
    JobRecord filling = this->job("j", tasks);
    filling.spec.steps.front().demand = FakeDaemon::directory().front().capacity;
    this->submit(*this->first, filling);
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(unacknowledging <= tasks / 4);
}

/// Guards against the same when the restart is seen in a report, before the entry is written.
BOOST_AUTO_TEST_CASE(tasksAreNotStartedElsewhereIfAReportShowsTheRestart)
{
    this->submitWithLostOrders();
    this->restartWorkers();
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 5U);
}

/// Guards against a task that runs twice at once: an order sent before the restart is carried out by the new
/// incarnation after the restart is known.
BOOST_AUTO_TEST_CASE(anOrderThatTheNewIncarnationReceivesLateStartsNoTaskASecondTime)
{
    this->first->link.lateStarts = 4;
    this->first->link.lateStartDelay = Milliseconds(250);
    this->submit(*this->first, this->job("j", 4));
    BOOST_REQUIRE(this->runUntil([this] { return this->first->link.lateStarts == 0; }));
    this->restartWorkers();
    this->listWorkers();
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a task that runs twice at once: the new incarnation is cut off while it runs a task under a lease
/// that an order with a time on the former clock has extended to the longest one.
BOOST_AUTO_TEST_CASE(tasksInDoubtStartElsewhereOnlyAfterTheLongestLease)
{
    this->workers.taskLength = Milliseconds(3500);
    this->submitWithLostOrders();
    this->restartWorkers();
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 5U; }));
    this->first->link.unreachable = { this->busiestWorker() };
    this->listWorkers();
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }, Milliseconds(15'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// A task that the former incarnation has reported as running has ended with it, and starts again at once.
BOOST_AUTO_TEST_CASE(tasksThatTheFormerIncarnationRanStartAgainAtOnce)
{
    this->workers.taskLength = Milliseconds(20'000);
    this->submit(*this->first, this->job("j", 4));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 5U; }));
    this->runFor(Milliseconds(1500));
    this->workers.taskLength = Milliseconds(100);
    this->restartWorkers();
    this->listWorkers();
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 9U; }, Milliseconds(300)));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a worker that is out of use for good: another writer put a start time far ahead into its entry, and
/// the worker's own entries and reports then looked older.
BOOST_AUTO_TEST_CASE(aWorkerIsUsedAgainAfterAnEntryWithAStartTimeThatNeverWas)
{
    for (auto info : FakeDaemon::directory()) {
        info.incarnationUnixMs = 4'000'000'000'000'000;
        this->first->coordinator.updateWorker(info);
    }
    this->runFor(Milliseconds(100));
    this->listWorkers();
    this->workers.taskLength = Milliseconds(100);
    this->submit(*this->first, this->job("j", 4));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }, Milliseconds(3000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a task that runs twice at once: an order with a time on the former clock has given the new
/// incarnation the longest lease that workers grant, which is longer than the one that the leader asks for.
BOOST_AUTO_TEST_CASE(tasksInDoubtStartElsewhereOnlyAfterTheLongestLeaseThatWorkersGrant)
{
    this->workers.longestLease = FakeDaemon::longestGrantedLease;
    this->workers.taskLength = Milliseconds(5800);
    this->submitWithLostOrders();
    this->restartWorkers();
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 5U; }));
    this->first->link.unreachable = { this->busiestWorker() };
    this->listWorkers();
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 9U; }, Milliseconds(12'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same with tasks that were started on the new incarnation later, under a renewed lease that ends
/// before the longest one.
BOOST_AUTO_TEST_CASE(laterTasksStartElsewhereOnlyAfterTheLongestLeaseOfARestartedWorker)
{
    this->workers.longestLease = FakeDaemon::longestGrantedLease;
    this->workers.taskLength = Milliseconds(300);
    this->submitWithLostOrders();
    this->restartWorkers();
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 5U; }));
    this->listWorkers();
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("j"); }));
    this->workers.taskLength = Milliseconds(6500);
    this->submit(*this->first, this->job("later", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 6U; }));
    this->first->link.unreachable = { this->busiestWorker() };
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 7U; }, Milliseconds(12'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same across a change of leader: the next leader has not granted that lease.
BOOST_AUTO_TEST_CASE(theNextLeaderWaitsForTheLongestLeaseOfARestartedWorker)
{
    this->second = this->makeDaemon("second", "1");
    this->second->coordinator.onWorkerWatchNeeded([this](bool isNeeded) {
        if (isNeeded)
            this->second->coordinator.setWorkers(this->entries());
    });
    this->second->coordinator.start();
    this->workers.longestLease = FakeDaemon::longestGrantedLease;
    this->workers.taskLength = Milliseconds(5800);
    this->submitWithLostOrders();
    this->restartWorkers();
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 5U; }));
    this->listWorkers();
    this->runFor(Milliseconds(100));
    this->second->link.unreachable = { this->busiestWorker() };
    this->first->coordinator.resign();
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 9U; }, Milliseconds(14'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a task that runs twice at once: its start order is held up, so that it is started elsewhere, and
/// arrives at an incarnation for which its time has not passed.
BOOST_AUTO_TEST_CASE(anOrderHeldUpForSecondsStartsNothingInALaterIncarnation)
{
    this->submitWithAHeldUpOrder();
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    this->workers.restart(*this->first->link.heldUpAt);
    this->listWorkers();
    this->runFor(Milliseconds(3500));
    BOOST_TEST(this->workers.starts == 2U);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same when an incarnation in between has accepted the order to stop the attempt.
BOOST_AUTO_TEST_CASE(anOrderHeldUpPastTwoRestartsStartsNothing)
{
    this->submitWithAHeldUpOrder();
    WorkerId worker = *this->first->link.heldUpAt;
    this->workers.restart(worker);
    WorkerInfo leaving;
    for (const auto& info : this->entries())
        leaving = info.id == worker ? info : leaving;
    leaving.draining = true;
    this->first->coordinator.updateWorker(leaving);
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    this->workers.restart(worker);
    this->listWorkers();
    this->runFor(Milliseconds(3500));
    BOOST_TEST(this->workers.starts == 2U);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same when the order was sent by an earlier leader.
BOOST_AUTO_TEST_CASE(anOrderOfAnEarlierLeaderThatIsHeldUpStartsNothingInALaterIncarnation)
{
    this->second = this->makeDaemon("second", "1");
    this->second->coordinator.start();
    this->submitWithAHeldUpOrder();
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    this->first->coordinator.resign();
    BOOST_REQUIRE(this->runUntil([this] { return this->second->coordinator.isLeader(); }));
    this->runFor(Milliseconds(300));
    this->workers.restart(*this->first->link.heldUpAt);
    for (const auto& info : this->entries())
        this->second->coordinator.updateWorker(info);
    this->runFor(Milliseconds(3000));
    BOOST_TEST(this->workers.starts == 2U);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a leader that takes the token which it has raised itself for that of another leader.
BOOST_AUTO_TEST_CASE(anOrderThatTheRaisedTokenFencesDoesNotEndTheLead)
{
    this->workers.taskLength = Milliseconds(100);
    this->first->link.slowStarts = 1;
    // After the first renewal under the raised token, and before the attempt is released.
    this->first->link.lateStartDelay = Milliseconds(10);
    this->submit(*this->first, this->job("j", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->first->link.slowStarts == 0; }));
    std::int64_t token = this->first->coordinator.leadershipState().currentTerm().fencingToken;
    this->restartWorkers();
    this->listWorkers();
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_REQUIRE(this->first->coordinator.isLeader());
    BOOST_TEST(this->first->coordinator.leadershipState().currentTerm().fencingToken == token);
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 2U);
}

/// Guards against a task that runs twice at once: an incarnation that the leader has not heard of runs it under the
/// longest lease, and is cut off.
BOOST_AUTO_TEST_CASE(tasksOfAnUnknownIncarnationStartElsewhereOnlyAfterTheLongestLease)
{
    this->first->link.unreachable = { this->startOnAnIncarnationThatIsNotKnown() };
    this->first->link.loseRenewals = 0;
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 9U; }, Milliseconds(12'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same when the answer to the start order is taken for that of the known incarnation.
BOOST_AUTO_TEST_CASE(tasksThatAnUnknownIncarnationAcceptedStartElsewhereOnlyAfterTheLongestLease)
{
    // Renewals to the former incarnations wait for an answer.
    this->runFor(Milliseconds(100));
    this->workers.longestLease = FakeDaemon::longestGrantedLease;
    this->workers.taskLength = Milliseconds(5800);
    this->restartWorkers();
    this->submit(*this->first, this->job("j", 4));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 5U; }));
    this->runFor(Milliseconds(10));
    this->first->link.unreachable = { this->busiestWorker() };
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 9U; }, Milliseconds(12'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same under the next leader, which knows what the last one has stored.
BOOST_AUTO_TEST_CASE(theNextLeaderWaitsForTheLongestLeaseOfAnUnknownIncarnation)
{
    this->second = this->makeDaemon("second", "1");
    this->second->coordinator.start();
    this->second->link.unreachable = { this->startOnAnIncarnationThatIsNotKnown() };
    this->first->coordinator.resign();
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 9U; }, Milliseconds(14'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a longest lease, granted under the last leader, that the next one cuts short with the first report.
BOOST_AUTO_TEST_CASE(aRestartedWorkerThatIsCutOffRightAfterItsFirstReportHoldsTheLongestLease)
{
    this->second = this->makeDaemon("second", "2");
    this->second->coordinator.onWorkerWatchNeeded(
        [this](bool) { this->second->coordinator.setWorkers(this->entries()); });
    this->second->coordinator.start();
    WorkerId restarted = this->startOnAnIncarnationThatIsNotKnown();
    this->first->link.loseRenewals = 0;
    this->listWorkers();
    this->runFor(Milliseconds(100));
    this->workers.taskLength = Milliseconds(60'000);
    JobRecord record = this->job("k", 1);
    record.spec.steps[0].longRunning = true;
    this->submit(*this->first, record);
    TaskName task { JobId("k"), 0, 0, 0 };
    BOOST_REQUIRE(this->runUntil([&] { return this->workers.workers[restarted].running.contains(task); }));
    this->runFor(Milliseconds(100));
    this->second->link.onRenewed = [this, restarted](const WorkerId& id) {
        if (id == restarted)
            this->second->link.unreachable.insert(id);
    };
    this->first->coordinator.resign();
    BOOST_REQUIRE(this->runUntil([&] { return this->second->link.unreachable.contains(restarted); }));
    auto isElsewhere = [&] {
        return std::any_of(this->workers.workers.begin(), this->workers.workers.end(),
            [&](const auto& entry) { return entry.first != restarted && entry.second.running.contains(task); });
    };
    BOOST_TEST(this->runUntil(isElsewhere, Milliseconds(12'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same when the last order of the leader before is still on its way as the lead is handed over.
BOOST_AUTO_TEST_CASE(theNextLeaderCountsTheLongestLeaseFromTheArrivalOfTheLastOrder)
{
    this->workers.longestLease = FakeDaemon::longestGrantedLease;
    this->second = this->makeDaemon("second", "1");
    this->second->coordinator.start();
    this->submitWithAHeldUpOrder(Milliseconds(450));
    WorkerId worker = *this->first->link.heldUpAt;
    this->workers.restart(worker);
    this->workers.workers[worker].clockPercent = 98;
    this->second->link.unreachable = { worker };
    this->first->coordinator.resign();
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 3U; }, Milliseconds(14'000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a task that runs twice at once: an order held up for seconds arrives right after the first renewal
/// that reaches a later incarnation.
BOOST_AUTO_TEST_CASE(theFirstRenewalThatReachesALaterIncarnationFencesHeldUpOrders)
{
    this->submitWithAHeldUpOrder();
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    WorkerId restarted = *this->first->link.heldUpAt;
    this->first->link.onRenewed = [this, restarted](const WorkerId& id) {
        if (id == restarted)
            this->first->link.deliverHeldUpOrders(id);
    };
    this->workers.restart(restarted);
    this->runFor(Milliseconds(1500));
    BOOST_TEST(this->workers.starts == 2U);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same when the worker starts again between two renewals, so that none of them fails.
BOOST_AUTO_TEST_CASE(aStartOrderWithoutAnswerIsFencedByTheNextRenewal)
{
    this->submitWithAHeldUpOrder(Milliseconds(20'000));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    WorkerId restarted = *this->first->link.heldUpAt;
    auto& worker = this->workers.workers[restarted];
    // The pause in which a worker that left orders unanswered gets no other ones.
    this->runFor(Milliseconds(400));
    // A task on each worker. While the store does not answer, the renewal after its end is delayed.
    this->workers.taskLength = Milliseconds(100);
    JobRecord record = this->job("k", 2);
    record.spec.steps[0].demand.cpuMillis = 7000;
    this->submit(*this->first, record);
    BOOST_REQUIRE(this->runUntil([&worker] { return !worker.running.empty(); }));
    this->first->store.isUnresponsive = true;
    BOOST_REQUIRE(this->runUntil([&worker] { return !worker.ended.empty(); }));
    this->runFor(Milliseconds(20));
    this->first->link.onRenewed = [this, restarted](const WorkerId& id) {
        if (id == restarted)
            this->first->link.deliverHeldUpOrders(id);
    };
    this->workers.restart(restarted);
    this->runFor(Milliseconds(600));
    BOOST_TEST(this->workers.starts == 4U);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// An entry of the former incarnation may arrive after a report of the new one.
BOOST_AUTO_TEST_CASE(anOldEntryChangesNothingOnceTheNewIncarnationHasReported)
{
    this->restartWorkers();
    this->runFor(Milliseconds(1500));
    this->workers.taskLength = Milliseconds(600);
    this->submit(*this->first, this->job("j", 4));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 5U; }));
    for (const auto& info : FakeDaemon::directory())
        this->first->coordinator.updateWorker(info);
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }, Milliseconds(2000)));
    BOOST_TEST(this->workers.starts == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
