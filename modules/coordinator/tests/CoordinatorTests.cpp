#include <coordinator/tests/CoordinatorFixture.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

BOOST_FIXTURE_TEST_SUITE(Coordinating, CoordinatorFixture)

BOOST_AUTO_TEST_CASE(aSubmittedJobIsRunOnceAndShownAsCompleted)
{
    this->first->coordinator.start();
    BOOST_TEST((this->submit(*this->first, this->job("j", 4)) == JobRequestOutcome::Stored));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.starts == 4U);
    BOOST_TEST(this->workers.startedTwice.empty());
    JobStateAnswer answer = this->state(*this->first, "j");
    BOOST_TEST((answer.outcome == JobRequestOutcome::Stored && answer.state == JobState::Completed));
    BOOST_TEST((this->state(*this->first, "none").outcome == JobRequestOutcome::NoSuchJob));
    // The workers may forget ends once these are stored.
    BOOST_TEST(this->runUntil([this] { return this->workers.storedAsDone.size() == 4U; }));
}

BOOST_AUTO_TEST_CASE(tasksOfAnAdvisedQueueStartWithATicketWhereTheServiceAllows)
{
    this->first->advice.fit = { WorkerId("w2") };
    this->first->advice.refuse = 1;
    this->first->coordinator.start();
    JobRecord record = this->job("j", 4);
    record.queue = QueueId("advised");
    this->submit(*this->first, record);
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.starts == 4U);
    BOOST_TEST((this->workers.tickets == std::set<std::string> { "ticket for w2" }));
    // The first request is refused and the second one answered; no further one is needed.
    BOOST_TEST(this->first->advice.requests == 2U);
}

BOOST_AUTO_TEST_CASE(aRepeatedSubmissionStaysOneJob)
{
    this->first->coordinator.start();
    BOOST_TEST((this->submit(*this->first, this->job("j", 2)) == JobRequestOutcome::Stored));
    BOOST_TEST((this->submit(*this->first, this->job("j", 2)) == JobRequestOutcome::Stored));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST((this->submit(*this->first, this->job("j", 2)) == JobRequestOutcome::Stored));
    this->runFor(Milliseconds(300));
    BOOST_TEST(this->workers.starts == 2U);
}

BOOST_AUTO_TEST_CASE(aRefusedSubmissionIsNotStored)
{
    this->first->store.isRefusing = true;
    BOOST_TEST((this->submit(*this->first, this->job("j", 1)) == JobRequestOutcome::NotStored));
    BOOST_TEST(this->tables.items.empty());
}

BOOST_AUTO_TEST_CASE(aSubmissionToAnUnresponsiveStoreIsUnknown)
{
    this->first->store.isUnresponsive = true;
    BOOST_TEST((this->submit(*this->first, this->job("j", 1)) == JobRequestOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(noTaskStartsBeforeItsPlacementIsStored)
{
    this->first->coordinator.start();
    this->runUntil([this] { return this->first->coordinator.isLeader(); });
    this->submit(*this->first, this->job("j", 1));
    // From now on the first daemon cannot write, though it can reach the workers.
    this->runUntil([this] { return this->tables.items.contains("gg/crew"); });
    std::size_t startsBefore = this->workers.starts;
    this->first->store.isUnresponsive = true;
    JobRecord record = this->job("k", 1);
    this->second = this->makeDaemon("second", "1");
    this->submit(*this->second, record);
    this->runFor(Milliseconds(400));
    bool isPlaced = this->tables.items.contains("gg/job/k/progress");
    BOOST_TEST(!isPlaced);
    BOOST_TEST(this->workers.starts <= startsBefore + 1);
}

BOOST_AUTO_TEST_CASE(anotherDaemonTakesOverWhenTheLeaderIsCutOffFromTheStore)
{
    this->workers.taskLength = Milliseconds(3000);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->second = this->makeDaemon("second", "1");
    this->second->coordinator.start();
    this->submit(*this->second, this->job("j", 4));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 4U; }));
    this->first->store.isUnresponsive = true;
    BOOST_TEST(this->runUntil([this] { return this->second->coordinator.isLeader(); }));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 4U);
    BOOST_TEST(!this->first->coordinator.leadershipState().mayAct(BootClock::now()));
}

BOOST_AUTO_TEST_CASE(tasksOnAWorkerThatTheNextLeaderCannotReachDoNotRunTwice)
{
    this->workers.taskLength = Milliseconds(20'000);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("j", 4));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 4U; }));
    this->second = this->makeDaemon("second", "1");
    this->second->link.unreachable = { WorkerId("w1"), WorkerId("w2") };
    this->second->coordinator.start();
    this->first->store.isUnresponsive = true;
    BOOST_REQUIRE(this->runUntil([this] { return this->second->coordinator.isLeader(); }));
    // The tasks start again only after the last lease that the old leader may have extended has expired.
    this->workers.taskLength = Milliseconds(100);
    this->second->link.unreachable = { this->busiestWorker() };
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }, Milliseconds(15'000)));
    BOOST_TEST(this->workers.starts > 4U);
    BOOST_TEST(this->workers.startedTwice.empty());
}

BOOST_AUTO_TEST_CASE(aRestartedLeaderBecomesLeaderAgainAtOnce)
{
    this->workers.taskLength = Milliseconds(600);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("j", 4));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 4U; }));
    this->first->store.isUnresponsive = true;
    this->first->link.unreachable = { WorkerId("w1"), WorkerId("w2") };
    this->second = this->makeDaemon("first", "2");
    this->second->coordinator.start();
    BOOST_TEST(this->runUntil([this] { return this->second->coordinator.isLeader(); }, Milliseconds(300)));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 4U);
}

/// Guards against a new leader that publishes zero waiting jobs before it has loaded the jobs.
BOOST_AUTO_TEST_CASE(aNewLeaderRepeatsTheWaitingJobsOfTheLastHeartbeat)
{
    KvCommit earlier;
    earlier.puts = { { StoreKeys::leader, LeaderRecord { DaemonId("first"), IncarnationId("0"), 3 }.encode() },
        { StoreKeys::heartbeat, "{\"waiting\":{\"quick\":5}}" } };
    this->first->store.commit(earlier, [](auto) {});
    this->first->store.listDelay = Milliseconds(50);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    BOOST_TEST(this->tables.items.at(StoreKeys::heartbeat).value.find("\"quick\":5") != std::string::npos);
    BOOST_TEST(this->first->coordinator.waitingJobs(QueueId("quick")) == 5U);
}

/// Guards against jobs that are not counted as waiting (review/9) since a worker was sent start orders, all of which it
/// refused. Also for the next leader, which reads the placements that were stored before the orders were sent.
BOOST_AUTO_TEST_CASE(jobsWhoseStartsWereRefusedAreWaiting)
{
    this->workers.admission = [](const WorkerId&, const StartAttempt&) { return StartOutcome::Unhealthy; };
    this->first->coordinator.start();
    for (const char* id : { "j1", "j2", "j3" })
        this->submit(*this->first, this->job(id, 2));
    auto isWaiting = [this](FakeDaemon& daemon, std::uint64_t count) {
        return this->runUntil(
            [&] { return daemon.coordinator.waitingJobs(QueueId("quick")) == count; }, Milliseconds(1500));
    };
    this->runFor(Milliseconds(1000));
    BOOST_TEST(isWaiting(*this->first, 3));
    this->second = this->makeDaemon("second", "1");
    this->second->coordinator.start();
    this->first->coordinator.resign();
    BOOST_REQUIRE(this->runUntil([this] { return this->second->coordinator.isLeader(); }));
    this->runFor(Milliseconds(1000));
    BOOST_TEST(isWaiting(*this->second, 3));
    this->workers.taskLength = Milliseconds(60'000);
    this->workers.admission = nullptr;
    BOOST_TEST(isWaiting(*this->second, 0));
}

/// Guards against the same if start orders get no answer and have no effect.
BOOST_AUTO_TEST_CASE(jobsWhoseStartsWereLostAreWaiting)
{
    this->first->link.loseStarts = 1000;
    this->first->coordinator.start();
    this->submit(*this->first, this->job("j", 2));
    this->runFor(Milliseconds(2000));
    BOOST_TEST(this->first->coordinator.waitingJobs(QueueId("quick")) == 1U);
}

/// Guards against a job that counts as waiting again: the next leader reads that it has started, also if its tasks have
/// ended since and start orders are refused.
BOOST_AUTO_TEST_CASE(aJobThatHasStartedIsNotWaitingForTheNextLeader)
{
    this->workers.taskLength = Milliseconds(60'000);
    this->first->coordinator.start();
    JobRecord record = this->job("j", 1);
    record.spec.steps[0].longRunning = true;
    this->submit(*this->first, record);
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 1U; }));
    this->runFor(Milliseconds(1000));
    this->workers.admission = [](const WorkerId&, const StartAttempt&) { return StartOutcome::Unhealthy; };
    this->workers.endTask(this->busiestWorker(), { JobId("j"), 0, 0, 0 }, EndKind::Failed);
    this->runFor(Milliseconds(1000));
    this->second = this->makeDaemon("second", "1");
    this->second->coordinator.start();
    this->first->coordinator.resign();
    BOOST_REQUIRE(this->runUntil([this] { return this->second->coordinator.isLeader(); }));
    this->runFor(Milliseconds(1000));
    BOOST_TEST(this->second->coordinator.waitingJobs(QueueId("quick")) == 0U);
    BOOST_TEST(this->workers.starts == 1U);
}

BOOST_AUTO_TEST_CASE(aResigningLeaderIsReplacedWithoutWaiting)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->second = this->makeDaemon("second", "1");
    this->second->coordinator.start();
    this->runFor(Milliseconds(100));
    this->first->coordinator.resign();
    BOOST_TEST(this->runUntil([this] { return this->second->coordinator.isLeader(); }, Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(jobsStoredWhileHistoryWasDroppedAreLoaded)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->tables.historyFrom = this->tables.revision + 100;
    this->submit(*this->first, this->job("j", 1));
    this->tables.historyFrom = this->tables.revision;
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
}

/// Guards against a crash: a watch of an earlier session may be answered right after the leadership was lost.
BOOST_AUTO_TEST_CASE(answersToAnEarlierSessionChangeNothing)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    for (int round = 0; round < 20; ++round) {
        BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
        this->runFor(Milliseconds(20));
        this->submit(*this->first, this->job("j" + std::to_string(round), 1));
        KvCommit leaderChange;
        leaderChange.puts = { { StoreKeys::leader, LeaderRecord { DaemonId(), IncarnationId("x"), 50 }.encode() },
            { StoreKeys::job(JobId("u" + std::to_string(round))),
                JobRecordCodec().encode(this->job("u" + std::to_string(round), 1)) } };
        this->first->store.commit(leaderChange, [](auto) {});
    }
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("u19") && this->isCompleted("j19"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against tasks that run twice: a listing may be made before a job ends and be answered after it, and then
/// shows the ended job as open.
BOOST_AUTO_TEST_CASE(aLateListingDoesNotReopenAnEndedJob)
{
    this->workers.taskLength = Milliseconds(150);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("j", 3));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 3U; }));
    this->first->store.listDelay = Milliseconds(600);
    this->tables.historyFrom = this->tables.revision + 1000;
    this->runFor(Milliseconds(30));
    this->tables.historyFrom = 0;
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    this->runFor(Milliseconds(2500));
    BOOST_TEST(this->workers.starts == 3U);
    BOOST_TEST(this->workers.startedTwice.empty());
}

BOOST_AUTO_TEST_CASE(theStateOfAnEndedJobIsKeptForAWhileAndThenRemoved)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("j", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("j"); }));
    Instant ended = BootClock::now();
    BOOST_TEST(this->runUntil([this] { return !this->isCompleted("j"); }, Milliseconds(8000)));
    BOOST_TEST((BootClock::now() - ended >= FakeDaemon::endedJobRetention - Milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(aCancelledJobIsStopped)
{
    this->workers.taskLength = Milliseconds(60'000);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("j", 3));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 3U; }));
    std::optional<JobRequestOutcome> outcome;
    this->first->jobService.cancel(JobId("j"), Deadline::after(BootClock::now(), Milliseconds(500)),
        [&outcome](JobRequestOutcome result) { outcome = result; });
    BOOST_TEST(this->runUntil([&outcome] { return outcome == JobRequestOutcome::Stored; }));
    BOOST_TEST(this->runUntil([this] { return this->state(*this->first, "j").state == JobState::Cancelled; }));
    BOOST_TEST(this->runUntil([this] {
        return this->workers.workers[WorkerId("w1")].running.empty()
            && this->workers.workers[WorkerId("w2")].running.empty();
    }));
    BOOST_TEST(this->workers.starts == 3U);
}

BOOST_AUTO_TEST_CASE(tasksOfAnUnresponsiveWorkerRestartElsewhereOnceItsLeaseHasExpired)
{
    this->workers.taskLength = Milliseconds(1000);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("j", 4));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 4U; }));
    const WorkerId host = this->busiestWorker();
    this->workers.workers[host].running.begin()->second.endsAtMs += 60'000;
    this->first->link.unreachable = { host };
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against an accepted job that stops for good when its queue is removed, also under a leader that has never
/// known the queue.
BOOST_AUTO_TEST_CASE(jobsOfARemovedQueueAreFinishedByAnyLeader)
{
    JobRecord record = this->job("j", 2);
    record.spec.steps.push_back(record.spec.steps.front());
    record.spec.steps.back().after = { 0 };
    record.queuePolicy.emplace();
    record.queuePolicy->pool = PoolId("north");
    this->workers.taskLength = Milliseconds(400);
    this->first->coordinator.start();
    this->submit(*this->first, record);
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    auto policies = std::make_shared<JobPolicies>();
    policies->version = 2;
    this->second = this->makeDaemon("second", "1");
    this->second->coordinator.setPolicies(std::make_shared<JobPolicies>(*policies));
    this->second->coordinator.start();
    this->first->coordinator.resign();
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.starts == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
