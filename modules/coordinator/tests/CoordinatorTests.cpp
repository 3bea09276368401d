#include <coordinator/placing/Coordinator.h>
#include <coordinator/service/JobService.h>
#include <coordinator/tests/FakeAdvice.h>
#include <coordinator/tests/FakeWorkers.h>
#include <coordinator/tests/MemoryStore.h>
#include <core/log/Log.h>
#include <loop/memory/EventDeleter.h>

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <memory>
#include <optional>
#include <vector>

using namespace Greengage;

namespace {

/// One daemon: a coordinator and a job service, with access to the stand-ins for store and workers.
struct FakeDaemon {
    static constexpr Milliseconds leaseDuration { 4000 };
    static constexpr Milliseconds endedJobRetention { 3000 };
    using TestCoordinator = Coordinator<MemoryStore, FakeLink, FakeVms, FakeAdvice>;

    FakeDaemon(event_base& base, MemoryTables& tables, FakeWorkers& workers, const char* name, const char* incarnation)
        : store(base, tables)
        , link(base, workers)
        , vmService(base)
        , advice(base)
        , coordinator(base, this->store, this->link, this->vmService, this->advice, DaemonId(name),
              IncarnationId(incarnation), { leaseDuration, Milliseconds(0), endedJobRetention })
        , jobService(this->store)
    {
        auto policies = std::make_shared<JobPolicies>();
        policies->version = 1;
        policies->pools[PoolId("north")] = { PoolId("north"), false, true };
        QueuePolicy queue;
        queue.id = QueueId("quick");
        queue.pool = PoolId("north");
        queue.maxAttempts = 3;
        policies->queues[queue.id] = queue;
        queue.id = QueueId("advised");
        queue.advice = AdvicePolicy { Milliseconds(5), Milliseconds(1), Milliseconds(3000) };
        policies->queues[queue.id] = queue;
        this->coordinator.setPolicies(policies);
        this->coordinator.onWorkerWatchNeeded([this](bool isNeeded) {
            if (isNeeded)
                this->coordinator.setWorkers(FakeDaemon::directory());
        });
    }

    static std::vector<WorkerInfo> directory()
    {
        std::vector<WorkerInfo> workers;
        for (const char* name : { "w1", "w2" }) {
            WorkerInfo info;
            info.id = WorkerId(name);
            info.pool = PoolId("north");
            info.capacity = { 8000, 64'000, 0 };
            workers.push_back(info);
        }
        return workers;
    }

    MemoryStore store;
    FakeLink link;
    FakeVms vmService;
    FakeAdvice advice;
    TestCoordinator coordinator;
    JobService<MemoryStore> jobService;
};

struct CoordinatorFixture {
    CoordinatorFixture()
    {
        startLog(LogLevel::Error);
        this->first = this->makeDaemon("first", "1");
    }

    std::unique_ptr<FakeDaemon> makeDaemon(const char* name, const char* incarnation)
    {
        return std::make_unique<FakeDaemon>(*this->base, this->tables, this->workers, name, incarnation);
    }

    /// Runs the loop until the condition holds. Returns false if it does not hold in time.
    template <typename Condition> bool runUntil(Condition condition, Milliseconds atMost = Milliseconds(8000))
    {
        auto deadline = Deadline::after(BootClock::now(), atMost);
        while (!condition() && !deadline.hasPassed(BootClock::now())) {
            after(*this->base, Milliseconds(2), [] {});
            event_base_loop(this->base.get(), EVLOOP_ONCE);
        }
        return condition();
    }

    void runFor(Milliseconds span)
    {
        this->runUntil([] { return false; }, span);
    }

    JobRecord job(const std::string& id, std::uint32_t tasks)
    {
        JobRecord record;
        record.id = JobId(id);
        record.queue = QueueId("quick");
        StepSpec step;
        step.taskCount = tasks;
        step.demand = { 100, 10, 0 };
        step.estimate = Milliseconds(100);
        record.spec.steps = { step };
        return record;
    }

    JobRequestOutcome submit(FakeDaemon& daemon, const JobRecord& record)
    {
        std::optional<JobRequestOutcome> outcome;
        daemon.jobService.submit(record, Deadline::after(BootClock::now(), Milliseconds(500)),
            [&outcome](JobRequestOutcome result) { outcome = result; });
        this->runUntil([&outcome] { return outcome.has_value(); });
        return *outcome;
    }

    JobStateAnswer state(FakeDaemon& daemon, const std::string& id)
    {
        std::optional<JobStateAnswer> answer;
        daemon.jobService.findState(JobId(id), [&answer](JobStateAnswer result) { answer = result; });
        this->runUntil([&answer] { return answer.has_value(); });
        return *answer;
    }

    /// The worker that runs all tasks of a small job, since tasks are packed.
    WorkerId busiestWorker()
    {
        return this->workers.workers[WorkerId("w1")].running.empty() ? WorkerId("w2") : WorkerId("w1");
    }

    bool isCompleted(const std::string& id) const { return this->tables.items.contains("gg/done/" + id); }

    EventPointer<event_base> base { event_base_new() };
    MemoryTables tables;
    FakeWorkers workers;
    std::unique_ptr<FakeDaemon> first;
    std::unique_ptr<FakeDaemon> second;
};

} // namespace

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

BOOST_AUTO_TEST_CASE(aSubmissionWhoseAnswerWasLostIsFoundStored)
{
    this->first->store.loseCommits = 1;
    BOOST_TEST((this->submit(*this->first, this->job("j", 1)) == JobRequestOutcome::Stored));
    BOOST_TEST(this->tables.commits == 1U);
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

BOOST_AUTO_TEST_CASE(lostAnswersOfTheStoreLoseNoProgress)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    for (int index = 0; index < 5; ++index) {
        this->submit(*this->first, this->job("j" + std::to_string(index), 2));
        this->first->store.loseCommits = 2;
    }
    for (int index = 0; index < 5; ++index)
        BOOST_TEST(this->runUntil([this, index] { return this->isCompleted("j" + std::to_string(index)); }));
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 10U);
}

/// Load: jobs arrive while the store carries writes out without answering. The write of one job, which has been carried
/// out, holds up neither this job, which the watch shows as stored, nor the others.
BOOST_AUTO_TEST_CASE(aLostAnswerDelaysNoStart)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->second = this->makeDaemon("second", "1");
    this->submit(*this->second, this->job("warm", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("warm"); }));
    this->runFor(Milliseconds(500));
    std::size_t startsBefore = this->workers.starts;
    this->workers.taskLength = Milliseconds(5000);
    this->first->store.lostAnswerTimeout = Milliseconds(4000);
    this->first->store.loseCommits = 3;
    for (std::size_t index = 0; index < 6; ++index) {
        this->submit(*this->second, this->job("j" + std::to_string(index), 1));
        BOOST_TEST(this->runUntil([&] { return this->workers.starts == startsBefore + index + 1; }, Milliseconds(400)));
    }
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Load: the store resets each connection at once. Progress is tried again, but not in a loop without pause.
BOOST_AUTO_TEST_CASE(aStoreThatResetsConnectionsIsNotFlooded)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->second = this->makeDaemon("second", "1");
    this->submit(*this->second, this->job("warm", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("warm"); }));
    this->first->store.isResetting = true;
    constexpr std::size_t jobs = 30;
    for (std::size_t index = 0; index < jobs; ++index)
        this->submit(*this->second, this->job("j" + std::to_string(index), 1));
    std::size_t callsBefore = this->first->store.commitCalls;
    this->runFor(Milliseconds(500));
    // A commit holds six jobs, and progress is stored every 40 ms. Heartbeats and the like come on top.
    BOOST_TEST(this->first->store.commitCalls - callsBefore <= (jobs / 6 + 1) * (500 / 40 + 1) + 20);
    this->first->store.isResetting = false;
    for (std::size_t index = 0; index < jobs; ++index)
        BOOST_TEST(this->runUntil([&] { return this->isCompleted("j" + std::to_string(index)); }));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a worker that forgets an end whose effect is not stored: the next leader would start the task again.
BOOST_AUTO_TEST_CASE(anEndIsAcknowledgedOnlyOnceItsEffectIsStored)
{
    this->workers.taskLength = Milliseconds(200);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->second = this->makeDaemon("second", "1");
    this->submit(*this->second, this->job("j", 2));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    this->first->store.isRefusing = true;
    this->runFor(Milliseconds(700));
    BOOST_TEST(this->workers.done.size() == 2U);
    BOOST_TEST(this->workers.storedAsDone.empty());
    this->first->store.isRefusing = false;
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->runUntil([this] { return this->workers.storedAsDone.size() == 2U; }));
    BOOST_TEST(this->workers.starts == 2U);
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

/// Guards against a job that waits four seconds for each lost start order. Under load, orders to workers may be lost or
/// delayed for seconds.
BOOST_AUTO_TEST_CASE(aLostStartIsOrderedAgainWithinASecondOrSo)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("warm", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("warm"); }));
    this->first->link.loseStarts = 2;
    this->submit(*this->first, this->job("j", 2));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }, Milliseconds(2000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Load: workers leave a part of the start orders unanswered. A task whose order is lost is ordered again at once, and
/// waits neither until the order has expired nor for a report.
BOOST_AUTO_TEST_CASE(tasksWhoseStartOrdersAreLostStartWithinAFewHundredMilliseconds)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("warm", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("warm"); }));
    this->first->link.lostStartTimeout = Milliseconds(400);
    this->first->link.loseStarts = 3;
    this->submit(*this->first, this->job("j", 6));
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 7U; }, Milliseconds(350)));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 7U);
}

/// The answer to a start is lost, and the task may have ended before the order is repeated: it is not run again.
BOOST_AUTO_TEST_CASE(aTaskWhoseStartWasCarriedOutWithoutAnAnswerRunsOnce)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    for (int lengthMs : { 20, 110, 130, 300 }) {
        this->workers.taskLength = Milliseconds(lengthMs);
        this->first->link.lostStartTimeout = Milliseconds(400);
        this->first->link.loseStartAnswers = 5;
        std::string id = "j" + std::to_string(lengthMs);
        this->submit(*this->first, this->job(id, 4));
        BOOST_TEST(this->runUntil([&] { return this->isCompleted(id); }));
    }
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 16U);
    for (const auto& [task, times] : this->workers.done)
        BOOST_TEST(times == 1);
}

/// Guards against a lease that expires because several renewals in a row are lost.
BOOST_AUTO_TEST_CASE(threeLostRenewalsInARowExpireNoLease)
{
    this->workers.taskLength = Milliseconds(7000);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("j", 2));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    this->runFor(Milliseconds(1500));
    this->first->link.loseRenewals = 6;
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }, Milliseconds(12'000)));
    BOOST_TEST(this->workers.lapses == 0U);
    BOOST_TEST(this->workers.starts == 2U);
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

BOOST_AUTO_TEST_SUITE_END()
