#include <coordinator/placing/ReconnectSelector.h>
#include <coordinator/tests/CoordinatorFixture.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

/// A copy of a start order that is held up while another copy is carried out, and the worker crashes and starts again.
struct OpenCopyFixture : CoordinatorFixture {
    /// The time from the start of an incarnation to the arrival of the copy.
    static constexpr Milliseconds arrivalDelay { 60 };

    OpenCopyFixture()
    {
        this->first->listVms();
        this->first->coordinator.start();
        this->runUntil([this] { return this->first->coordinator.isLeader(); });
        this->submit(*this->first, this->job("warm", 1));
        this->runUntil([this] { return this->isCompleted("warm"); });
        this->first->link.lostStartTimeout = Milliseconds(400);
        this->first->link.lateStartDelay = Milliseconds(60'000);
        this->first->link.repetitionsArrive = true;
    }

    /// Has a job of one task completed, one copy of whose start order is still open.
    void completeWithAnOpenCopy(const std::string& id)
    {
        this->first->link.lateStarts = 1;
        this->submit(*this->first, this->job(id, 1));
        BOOST_REQUIRE(this->runUntil([&] { return this->isCompleted(id); }));
        // The end is acknowledged and the first copy has got no answer.
        this->runFor(Milliseconds(600));
        this->crashed = *this->first->link.heldUpAt;
    }

    void crash(FakeDaemon& daemon)
    {
        this->workers.restart(this->crashed);
        daemon.link.down.insert(this->crashed);
    }

    /// Neither the directory nor the fleet shows the worker any more.
    void leave()
    {
        this->first->coordinator.removeWorker(this->crashed);
        std::erase_if(this->first->vmService.vms, [this](const VmInfo& vm) { return vm.worker == this->crashed; });
    }

    void startAgain(FakeDaemon& daemon)
    {
        this->workers.restart(this->crashed, 0);
        daemon.link.down.erase(this->crashed);
    }

    /// Starts the crashed worker again and has the open copies arrive.
    void startAgainBeforeTheCopy(FakeDaemon& daemon)
    {
        this->startAgain(daemon);
        this->runFor(arrivalDelay);
        this->first->link.deliverHeldUpOrders(this->crashed);
    }

    WorkerId crashed;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HeldUpCopies, OpenCopyFixture)

/// Guards against a task that starts again after its end as done was stored: the worker starts again, and a copy of the
/// start order, of which nobody knew any more, arrives before the first call.
BOOST_AUTO_TEST_CASE(anOpenCopyIsRefusedByTheNextIncarnationAfterTheJobHasEnded)
{
    int number = 0;
    for (Milliseconds down : { Milliseconds(500), Milliseconds(3100) }) {
        this->completeWithAnOpenCopy("j" + std::to_string(number++));
        this->crash(*this->first);
        this->runFor(down);
        this->startAgainBeforeTheCopy(*this->first);
        BOOST_TEST(this->workers.startedTwice.empty());
        this->runFor(Milliseconds(500));
    }
}

/// Guards against the same after several crashes in a row: each incarnation forgets the tokens that it has seen.
BOOST_AUTO_TEST_CASE(anOpenCopyIsRefusedByEachOfSeveralIncarnations)
{
    this->completeWithAnOpenCopy("j");
    for (int life = 0; life < 3; ++life) {
        this->crash(*this->first);
        this->runFor(Milliseconds(1900));
        this->startAgain(*this->first);
        this->runFor(arrivalDelay);
        BOOST_TEST(this->workers.workers[this->crashed].isRenewed);
    }
    this->first->link.deliverHeldUpOrders(this->crashed);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against the same once neither the directory nor the fleet shows the worker any more.
BOOST_AUTO_TEST_CASE(anOpenCopyIsRefusedAfterTheWorkerWasGone)
{
    this->completeWithAnOpenCopy("j");
    this->crash(*this->first);
    this->leave();
    this->runFor(Milliseconds(6500));
    this->startAgainBeforeTheCopy(*this->first);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a copy that arrives before the first call: the directory lists a worker again that was taken for gone
/// and is called only now and then.
BOOST_AUTO_TEST_CASE(aWorkerThatIsListedAgainIsCalledAtOnce)
{
    this->completeWithAnOpenCopy("j");
    this->first->link.unreachable.insert(this->crashed);
    this->leave();
    this->runFor(Milliseconds(6500));
    std::size_t before = this->first->link.failedRenewals[this->crashed];
    BOOST_REQUIRE(this->runUntil([&] { return this->first->link.failedRenewals[this->crashed] > before; }));
    this->runFor(Milliseconds(100));
    this->workers.restart(this->crashed, 0);
    this->first->link.unreachable.clear();
    for (const auto& info : FakeDaemon::directory())
        this->first->coordinator.updateWorker(info);
    this->runFor(Milliseconds(100));
    BOOST_TEST(this->workers.workers[this->crashed].isRenewed);
}

/// Guards against the same under the next leader, to which a leader that was lost has told nothing.
BOOST_AUTO_TEST_CASE(anOpenCopyOfALostLeaderIsRefused)
{
    this->completeWithAnOpenCopy("j");
    this->crash(*this->first);
    this->first->store.isUnresponsive = true;
    for (const auto& info : FakeDaemon::directory())
        this->first->link.unreachable.insert(info.id);
    this->second = this->makeDaemon("second", "2");
    this->second->listVms();
    this->crash(*this->second);
    this->second->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->second->coordinator.isLeader(); }));
    this->runFor(Milliseconds(3000));
    this->startAgainBeforeTheCopy(*this->second);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against two runs of a long-running task: it starts elsewhere while its worker is down, and the worker starts
/// again before a copy of the former start order arrives.
BOOST_AUTO_TEST_CASE(anOpenCopyOfALongRunningTaskThatRunsElsewhereIsRefused)
{
    this->workers.taskLength = Milliseconds(60'000);
    this->first->link.lateStarts = 1;
    JobRecord record = this->job("lasting", 1);
    record.spec.steps[0].longRunning = true;
    std::size_t startsBefore = this->workers.starts;
    this->submit(*this->first, record);
    BOOST_REQUIRE(this->runUntil([&] { return this->workers.starts == startsBefore + 1; }));
    this->runFor(Milliseconds(600));
    this->crashed = *this->first->link.heldUpAt;
    this->crash(*this->first);
    for (auto& vm : this->first->vmService.vms) {
        if (vm.worker == this->crashed) {
            vm.state = VmPhase::Down;
            vm.worker = WorkerId();
        }
    }
    BOOST_REQUIRE(this->runUntil([&] { return this->workers.starts == startsBefore + 2; }));
    this->runFor(Milliseconds(1500));
    this->startAgainBeforeTheCopy(*this->first);
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a storm of calls to a worker that is slow or cut off.
BOOST_AUTO_TEST_CASE(aWorkerThatDoesNotAnswerIsNotCalledMoreOften)
{
    this->completeWithAnOpenCopy("j");
    this->first->link.unreachable.insert(this->crashed);
    this->runFor(Milliseconds(3000));
    std::size_t before = this->first->link.failedRenewals[this->crashed];
    this->runFor(Milliseconds(3000));
    BOOST_TEST(this->first->link.failedRenewals[this->crashed] - before <= 3U);
}

/// A worker of which no copy is open is not called more often while it is down.
BOOST_AUTO_TEST_CASE(aWorkerWithoutOpenCopiesIsCalledAtTheRegularPace)
{
    this->runFor(OpenCopies::longestDelay + Milliseconds(3000));
    this->crashed = FakeDaemon::directory().front().id;
    this->crash(*this->first);
    this->runFor(Milliseconds(3000));
    std::size_t before = this->first->link.failedRenewals[this->crashed];
    this->runFor(Milliseconds(3000));
    BOOST_TEST(this->first->link.failedRenewals[this->crashed] - before <= 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReconnectSelectors)

/// Guards against a leader that spends its time on calls to the workers of a rack or a zone that is down.
BOOST_AUTO_TEST_CASE(theCallsToAllWorkersTogetherAreBounded)
{
    constexpr int workers = 500;
    ReconnectSelector selector;
    std::map<WorkerId, Instant> calledAt;
    for (int number = 0; number < workers; ++number)
        calledAt[WorkerId("w" + std::to_string(number))] = Instant();
    std::size_t calls = 0;
    Instant now = BootClock::now();
    for (Instant end = now + Milliseconds(10'000); now < end; now += Milliseconds(5)) {
        std::vector<ReconnectSelector::Candidate> candidates;
        for (const auto& [id, at] : calledAt)
            candidates.push_back({ id, false, at });
        for (const auto& id : selector.select(candidates, now)) {
            calledAt[id] = now;
            calls += 1;
        }
    }
    BOOST_TEST(calls <= 2000U);
    // Each of them is called in turn.
    for (const auto& [id, at] : calledAt)
        BOOST_TEST((now - at <= Milliseconds(3000)));
}

BOOST_AUTO_TEST_CASE(workersWithKnownCopiesAreCalledFirst)
{
    ReconnectSelector selector;
    Instant now = BootClock::now();
    std::vector<ReconnectSelector::Candidate> candidates;
    for (int number = 0; number < 100; ++number)
        candidates.push_back({ WorkerId("presumed" + std::to_string(number)), false, Instant() });
    candidates.push_back({ WorkerId("known"), true, now });
    auto selected = selector.select(candidates, now);
    BOOST_REQUIRE(selected.size() == ReconnectSelector::maxCallsPerPeriod);
    BOOST_TEST(selected.front().string() == "known");
}

BOOST_AUTO_TEST_SUITE_END()
