#include <tests/takeovers/ModelWorld.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

/// Five daemons, of which the first one to lead is about to be replaced.
struct HandOver {
    explicit HandOver(std::uint64_t seed)
        : world(seed, 5)
    {
        this->world.runUntil([this] { return this->world.actingLeader(); }, Seconds(10));
        this->world.runFor(Seconds(1));
        this->first = this->world.indexOf(*this->world.actingLeader());
    }

    StoreFaults& faultsOf(std::size_t index) { return *this->world.daemons[index]->store.faults; }

    void setFaultsOfOthers(const StoreFaults& faults)
    {
        for (std::size_t index = 0; index < this->world.daemons.size(); ++index) {
            if (index != this->first)
                this->faultsOf(index) = faults;
        }
    }

    /// Cuts off the workers from all daemons but one, so that it does not learn from them of a later leader.
    void reserveWorkersFor(std::size_t reserved)
    {
        for (std::size_t index = 0; index < this->world.daemons.size(); ++index) {
            for (const auto& [id, worker] : this->world.workers.workers) {
                if (index != reserved)
                    this->world.daemons[index]->link.fake.unreachable.insert(id);
            }
        }
    }

    /// Waits until the store names another leader.
    bool waitForSecond()
    {
        auto isReplaced = [this] {
            for (std::size_t index = 0; index < this->world.daemons.size(); ++index) {
                if (index != this->first && this->world.hasAcquired(index))
                    this->second = index;
            }
            return this->second != this->first;
        };
        this->second = this->first;
        return this->world.runUntil(isReplaced, Seconds(6));
    }

    bool leads(std::size_t index) { return this->world.daemons[index]->coordinator.isLeader(); }

    ModelWorld world;
    std::size_t first = 0;
    std::size_t second = 0;
};

/// Plays a hand-over with several seeds. Returns how many of them went as `play` needs it, which it returns.
template <typename Play> std::size_t playSeeds(Play play)
{
    startLog(LogLevel::Error);
    std::size_t played = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        HandOver handOver(seed);
        played += play(handOver) ? 1 : 0;
        for (const auto& violation : handOver.world.violations)
            BOOST_ERROR(violation);
    }
    return played;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HandOvers)

/// Guards against a leader that acts longer than the next one counts on because it was confirmed while the acquisition
/// was under way.
BOOST_AUTO_TEST_CASE(aLeaderThatIsConfirmedDuringAnAcquisitionIsWaitedFor)
{
    std::size_t played = playSeeds([](HandOver& handOver) {
        handOver.reserveWorkersFor(handOver.first);
        handOver.setFaultsOfOthers({ false, false, 0, 0, 0, Milliseconds(900) });
        handOver.world.freeze(handOver.first, Milliseconds(1900));
        handOver.world.runFor(Milliseconds(1940));
        bool isInTime = handOver.world.hasAcquired(handOver.first);
        handOver.faultsOf(handOver.first).isCutOff = true;
        handOver.waitForSecond();
        handOver.world.runFor(Seconds(4));
        return isInTime;
    });
    BOOST_TEST(played > 0U);
}

/// Guards against a leader that acts on an old answer to its watch, which names it.
BOOST_AUTO_TEST_CASE(anOldAnswerThatShowsALostAcquisitionGivesNoPermission)
{
    std::size_t played = playSeeds([](HandOver& handOver) {
        handOver.faultsOf(handOver.first).isCutOff = true;
        handOver.setFaultsOfOthers({ false, false, 50, 0, 100, Milliseconds(0) });
        handOver.waitForSecond();
        handOver.reserveWorkersFor(handOver.second);
        bool isAnswerUnderWay = !handOver.leads(handOver.second);
        handOver.world.freeze(handOver.second, Seconds(6));
        handOver.world.runFor(Milliseconds(1500));
        handOver.setFaultsOfOthers({});
        handOver.faultsOf(handOver.second).isCutOff = true;
        handOver.world.runFor(Seconds(10));
        return isAnswerUnderWay;
    });
    BOOST_TEST(played > 0U);
}

/// Guards against a hand-over that hides from the next leader how long one before may still act.
BOOST_AUTO_TEST_CASE(aHandOverTellsHowLongAnEarlierLeaderMayAct)
{
    std::size_t played = playSeeds([](HandOver& handOver) {
        handOver.faultsOf(handOver.first).isCutOff = true;
        bool isReplaced = handOver.waitForSecond();
        handOver.world.runFor(Milliseconds(20));
        ModelDaemon& daemon = *handOver.world.daemons[handOver.second];
        VirtualLoop::shared().runAs(daemon.process, [&daemon] { daemon.coordinator.resign(); });
        handOver.world.runFor(Seconds(4));
        return isReplaced;
    });
    BOOST_TEST(played > 0U);
}

/// Guards against the same when the next leader starts again at once and acquires the leadership that it held.
BOOST_AUTO_TEST_CASE(aLeaderThatStartsAgainWaitsForTheOneBeforeItself)
{
    std::size_t played = playSeeds([](HandOver& handOver) {
        handOver.faultsOf(handOver.first).isCutOff = true;
        bool isReplaced = handOver.waitForSecond();
        handOver.world.start(handOver.second);
        handOver.world.runFor(Seconds(4));
        return isReplaced;
    });
    BOOST_TEST(played > 0U);
}

/// Guards against a leader that takes a change by the next one for its own write, and its lead for confirmed.
BOOST_AUTO_TEST_CASE(aWriteOfTheNextLeaderDoesNotConfirmTheOneBefore)
{
    std::size_t played = playSeeds([](HandOver& handOver) {
        for (const auto& [id, worker] : handOver.world.workers.workers)
            handOver.world.workerFaults[id].isDown = true;
        handOver.world.runFor(Seconds(2));
        handOver.world.submitShortJob(1, Seconds(1));
        handOver.world.runFor(Milliseconds(200));
        handOver.faultsOf(handOver.first) = { false, false, 0, 0, 0, Seconds(5), StoreKeys::leadership };
        bool isReplaced = handOver.waitForSecond();
        ModelDaemon& daemon = *handOver.world.daemons[handOver.second];
        VirtualLoop::shared().runAs(daemon.process, [&daemon] {
            daemon.jobService.cancel(
                JobId("s0"), Deadline::after(BootClock::now(), Seconds(1)), [](JobRequestOutcome) {});
        });
        handOver.world.runFor(Seconds(4));
        return isReplaced;
    });
    BOOST_TEST(played > 0U);
}

/// Guards against a next leader that takes a stored attempt for ended when it learns of the incarnation that runs it.
BOOST_AUTO_TEST_CASE(anAttemptOfAnIncarnationThatOnlyTheLastLeaderKnewRunsOn)
{
    std::size_t played = playSeeds([](HandOver& handOver) {
        ModelWorld& world = handOver.world;
        for (const auto& [id, worker] : world.workers.workers)
            world.restartWorker(id, Milliseconds(20), Milliseconds(3000));
        world.runFor(Milliseconds(1000));
        world.submitJob(2);
        world.runFor(Milliseconds(1000));
        bool isStarted = world.runningTasks() == 2;
        // All workers but those that run the tasks can be reached.
        for (std::size_t index = 0; index < world.daemons.size(); ++index) {
            for (const auto& [id, worker] : world.workers.workers) {
                if (index != handOver.first && !worker.running.empty())
                    world.daemons[index]->link.fake.unreachable.insert(id);
            }
        }
        ModelDaemon& daemon = *world.daemons[handOver.first];
        VirtualLoop::shared().runAs(daemon.process, [&daemon] { daemon.coordinator.resign(); });
        bool isReplaced = handOver.waitForSecond();
        world.runFor(Seconds(4));
        return isStarted && isReplaced;
    });
    BOOST_TEST(played > 0U);
}

/// Guards against a next leader that adopts the attempts which the last one had stored, and takes their starts for
/// unsettled.
BOOST_AUTO_TEST_CASE(theNextLeaderKnowsWhichStartsWereCarriedOut)
{
    std::size_t played = playSeeds([](HandOver& handOver) {
        ModelWorld& world = handOver.world;
        world.submitJob(5);
        world.runFor(Seconds(3));
        bool isSettled = world.settledPlacements() == 5;
        world.stop(handOver.first);
        bool isReplaced = handOver.waitForSecond();
        world.runFor(Seconds(2));
        // The next leader stores the job again.
        world.failTask();
        world.runFor(Seconds(2));
        BOOST_TEST(world.settledPlacements() == 5U);
        return isSettled && isReplaced;
    });
    BOOST_TEST(played > 0U);
}

/// Guards against a next leader that waits for an attempt that the last one had given up while there was no room.
BOOST_AUTO_TEST_CASE(anAttemptThatWasGivenUpWithoutRoomIsNotWaitedForAgain)
{
    std::size_t played = playSeeds([](HandOver& handOver) {
        ModelWorld& world = handOver.world;
        world.submitJob(8);
        world.runFor(Seconds(2));
        bool isStarted = world.runningTasks() == 8;
        world.cutOffWorker(WorkerId("w0"));
        world.runFor(Seconds(6));
        world.stop(handOver.first);
        bool isReplaced = handOver.waitForSecond();
        world.runFor(Seconds(1));
        world.addWorker();
        world.runFor(Seconds(1));
        BOOST_TEST(world.runningTasks() == 8U);
        return isStarted && isReplaced;
    });
    BOOST_TEST(played > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
