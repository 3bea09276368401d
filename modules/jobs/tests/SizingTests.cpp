#include "JobTablesFixture.h"

#include <jobs/model/MaintenanceWave.h>
#include <jobs/systems/MaintenanceSystem.h>
#include <jobs/systems/PoolLoad.h>
#include <jobs/systems/PoolSizing.h>

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace Greengage;

namespace {

struct FleetFixture : JobTablesFixture {
    void addVm(const std::string& id, const char* pool)
    {
        VmInfo info;
        info.id = VmId(id);
        info.pool = PoolId(pool);
        info.state = VmPhase::Up;
        info.capacity = { 8000, 64'000, 0 };
        if (std::string(pool) != "spare") {
            info.worker = WorkerId("w-" + id);
            this->addWorker("w-" + id, pool);
        }
        this->vms[info.id] = info;
    }

    std::vector<MoveOrder> planMoves()
    {
        return this->sizing.advance(this->vms, {}, {}, this->pinned, this->now, this->unixMs);
    }

    /// Has the VMs arrive in the pools that they were ordered into.
    void carryOut(const std::vector<MoveOrder>& orders)
    {
        for (const auto& order : orders) {
            this->tables.workers.erase(this->vms.at(order.vm).worker);
            this->addVm(order.vm.string(), order.to.string().c_str());
        }
    }

    /// Sizes the pools and places tasks until nothing changes any more.
    void settle()
    {
        this->placeAndRun();
        for (auto orders = this->planMoves(); !orders.empty(); orders = this->planMoves()) {
            this->carryOut(orders);
            this->placeAndRun();
        }
    }

    std::size_t waitingTasks() { return PoolLoad::measure(this->tables, this->unixMs)[PoolId("north")].waitingTasks; }

    static StepSpec memoryHeavyStep(std::uint32_t tasks, std::int64_t memoryMegabytes)
    {
        StepSpec made = step(tasks, 500);
        made.demand.memoryMegabytes = memoryMegabytes;
        made.longRunning = true;
        return made;
    }

    /// Plays a wave in steps until the condition holds, for as long as a long-running task may be missing.
    bool playWave(const MaintenanceWave& wave, const std::function<bool()>& condition)
    {
        for (Instant end = this->now + longestAbsence; !condition() && this->now < end;) {
            this->maintenance.advance(wave, this->vms, {}, this->now);
            this->placeAndRun();
            this->endStopped();
        }
        return condition();
    }

    /// Has all workers end what they are ordered to stop.
    void endStopped()
    {
        std::vector<TaskName> stopping;
        for (const auto& [id, worker] : this->tables.workers) {
            for (const auto& [name, attempt] : worker.attempts) {
                if (attempt.phase == AttemptPhase::Stopping)
                    stopping.push_back(name);
            }
        }
        this->advance(Milliseconds(50));
        for (const auto& name : stopping)
            this->end(name, EndKind::Stopped);
    }

    /// A long-running task has to be at work again by then, if there is room for it all the while.
    static constexpr Milliseconds longestAbsence { 6000 };

    std::map<VmId, VmInfo> vms;
    std::set<VmId> pinned;
    PoolSizing sizing { this->tables };
    MaintenanceSystem maintenance { this->tables };
};

std::size_t movesTo(const std::vector<MoveOrder>& orders, const char* pool)
{
    return static_cast<std::size_t>(
        std::count_if(orders.begin(), orders.end(), [&](const auto& order) { return order.to.string() == pool; }));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Sizing, FleetFixture)

/// One queue asks for several times the capacity of its pool, the other for almost nothing.
BOOST_AUTO_TEST_CASE(aBurstMovesVmsFromIdlePoolsAndThenFromTheSparePool)
{
    for (int index = 0; index < 4; ++index) {
        this->addVm("n" + std::to_string(index), "north");
        this->addVm("s" + std::to_string(index), "south");
    }
    this->addVm("p0", "spare");
    this->addJob("burst", { step(56, 1000) });
    this->placeAndRun();
    auto orders = this->planMoves();
    // 56 cores and a reserve of two VMs of eight cores require nine VMs. Beyond the four in the pool, two come from the
    // idle pool, which keeps its reserve, and then the spare one.
    BOOST_REQUIRE(movesTo(orders, "north") == 3U);
    BOOST_TEST((orders[0].from.string() == "south"));
    BOOST_TEST((orders[1].from.string() == "south"));
    BOOST_TEST((orders[2].from.string() == "spare"));
    for (const auto& order : orders) {
        if (auto* worker = this->tables.findWorker(this->vms.at(order.vm).worker))
            BOOST_TEST(worker->attempts.empty());
    }
}

BOOST_AUTO_TEST_CASE(arrivingWorkMovesVmsBeforeAnyTaskWaits)
{
    for (int index = 0; index < 3; ++index)
        this->addVm("n" + std::to_string(index), "north");
    for (int index = 0; index < 4; ++index)
        this->addVm("p" + std::to_string(index), "spare");
    JobSpec spec;
    spec.steps = { step(10, 1000) };
    for (int arrival = 0; arrival < 3; ++arrival)
        this->sizing.recordArrival(PoolId("north"), spec, this->now);
    BOOST_TEST(movesTo(this->planMoves(), "north") > 0U);
}

/// Load: a queue that was almost idle asks for several times the capacity of its pool, from one moment to the next. A
/// move takes seconds, so within a third of a second more than half of the VMs that the new rate needs are ordered.
BOOST_AUTO_TEST_CASE(aRiseOfTheDemandIsMetWithinAThirdOfASecond)
{
    for (int index = 0; index < 5; ++index)
        this->addVm("n" + std::to_string(index), "north");
    for (int index = 0; index < 30; ++index)
        this->addVm("p" + std::to_string(index), "spare");
    // Twenty jobs a second, each of which keeps eight cores busy for a second: 160 cores, or 20 VMs.
    JobSpec spec;
    spec.steps = { step(8, 1000) };
    constexpr Milliseconds between { 50 };
    for (Milliseconds elapsed { 0 }; elapsed < Milliseconds(330); elapsed += between) {
        this->sizing.recordArrival(PoolId("north"), spec, this->now);
        this->advance(between);
    }
    BOOST_TEST(5U + movesTo(this->planMoves(), "north") >= 10U);
}

/// Load: the same rise, after which no job arrives any more. The VMs that were ordered for it are given back.
BOOST_AUTO_TEST_CASE(afterTheDemandHasFallenThePoolShrinksToItsReserve)
{
    for (int index = 0; index < 20; ++index)
        this->addVm("n" + std::to_string(index), "north");
    for (int index = 0; index < PoolSizing::reserveVms; ++index)
        this->addVm("s" + std::to_string(index), "south");
    JobSpec spec;
    spec.steps = { step(8, 1000) };
    for (int arrival = 0; arrival < 10; ++arrival) {
        this->sizing.recordArrival(PoolId("north"), spec, this->now);
        this->advance(Milliseconds(50));
    }
    this->planMoves();
    this->advance(PoolSizing::idleRetention + PoolSizing::arrivalWindow * 20);
    BOOST_TEST(movesTo(this->planMoves(), "spare") == 20U - PoolSizing::reserveVms);
}

BOOST_AUTO_TEST_CASE(idleVmsBeyondTheReserveAreSwitchedOffAfterTheRetention)
{
    for (int index = 0; index < 5; ++index)
        this->addVm("n" + std::to_string(index), "north");
    for (int index = 0; index < PoolSizing::reserveVms; ++index)
        this->addVm("s" + std::to_string(index), "south");
    BOOST_TEST(movesTo(this->planMoves(), "spare") == 0U);
    this->advance(PoolSizing::idleRetention);
    BOOST_TEST(movesTo(this->planMoves(), "spare") == 5U - PoolSizing::reserveVms);
}

/// Guards against a pool that grows further because its own VMs cannot be moved for a while.
BOOST_AUTO_TEST_CASE(aVmThatCannotBeMovedNowCountsForItsPool)
{
    for (int index = 0; index < PoolSizing::reserveVms; ++index) {
        this->addVm("n" + std::to_string(index), "north");
        this->addVm("s" + std::to_string(index), "south");
        this->addVm("p" + std::to_string(index), "spare");
    }
    this->pinned = { VmId("n0"), VmId("p0") };
    BOOST_TEST(this->planMoves().empty());
    this->addJob("burst", { step(40, 1000) });
    this->placeAndRun();
    auto orders = this->planMoves();
    BOOST_TEST(movesTo(orders, "north") == 1U);
    for (const auto& order : orders)
        BOOST_TEST(!this->pinned.contains(order.vm));
}

BOOST_AUTO_TEST_CASE(aVmWithAttemptsIsNeverMoved)
{
    for (int index = 0; index < 5; ++index)
        this->addVm("n" + std::to_string(index), "north");
    StepSpec longRunningStep = step(5, 100);
    longRunningStep.longRunning = true;
    longRunningStep.perWorkerLimit = 1;
    this->addJob("long-running", { longRunningStep });
    this->placeAndRun();
    this->planMoves();
    this->advance(Seconds(60));
    BOOST_TEST(this->planMoves().empty());
}

BOOST_AUTO_TEST_CASE(aPoolHasAsManyVmsAsALongRunningStepNeedsWorkers)
{
    for (int index = 0; index < 8; ++index)
        this->addVm("p" + std::to_string(index), "spare");
    this->addVm("n0", "north");
    StepSpec longRunningStep = step(5, 100);
    longRunningStep.longRunning = true;
    longRunningStep.perWorkerLimit = 1;
    this->addJob("long-running", { longRunningStep });
    this->placeAndRun();
    BOOST_TEST(movesTo(this->planMoves(), "north") >= 4U);
}

/// Guards against tasks that wait for good in a pool whose memory is full while its processors are not.
BOOST_AUTO_TEST_CASE(aPoolGrowsIfItsMemoryIsFull)
{
    for (int index = 0; index < 4; ++index)
        this->addVm("n" + std::to_string(index), "north");
    for (int index = 0; index < 8; ++index)
        this->addVm("p" + std::to_string(index), "spare");
    this->addJob("catalogue", { memoryHeavyStep(12, 30'000) });
    this->settle();
    BOOST_TEST(this->waitingTasks() == 0U);
}

/// Guards against the same where the free memory would do in total, but no worker has enough for one task.
BOOST_AUTO_TEST_CASE(aPoolGrowsIfItsFreeMemoryIsSpreadOverItsWorkers)
{
    for (int index = 0; index < 10; ++index)
        this->addVm("n" + std::to_string(index), "north");
    for (int index = 0; index < 8; ++index)
        this->addVm("p" + std::to_string(index), "spare");
    this->addJob("catalogue", { memoryHeavyStep(13, 40'000) });
    this->settle();
    BOOST_TEST(this->waitingTasks() == 0U);
}

BOOST_AUTO_TEST_CASE(aPoolGrowsForLongRunningTasksIfItsFreeProcessorTimeIsSpreadOverItsWorkers)
{
    for (int index = 0; index < 10; ++index)
        this->addVm("n" + std::to_string(index), "north");
    for (int index = 0; index < 16; ++index)
        this->addVm("p" + std::to_string(index), "spare");
    StepSpec large = step(20, 5000);
    large.longRunning = true;
    this->addJob("catalogue", { large });
    this->settle();
    BOOST_TEST(this->waitingTasks() == 0U);
}

/// Guards against a burst that takes more VMs than its processor time, because it leaves some of each VM unused.
BOOST_AUTO_TEST_CASE(waitingTasksOfABurstCountWithTheirProcessorTimeOnly)
{
    for (int index = 0; index < 10; ++index)
        this->addVm("n" + std::to_string(index), "north");
    for (int index = 0; index < 16; ++index)
        this->addVm("p" + std::to_string(index), "spare");
    this->addJob("burst", { step(20, 5000) });
    this->placeAndRun();
    // 100 cores and the reserve of two VMs of eight cores require fifteen VMs.
    BOOST_TEST(movesTo(this->planMoves(), "north") == 5U);
}

/// Guards against a pool that grows without end for a task that is larger than any VM.
BOOST_AUTO_TEST_CASE(aPoolDoesNotGrowForATaskThatNoVmCanTake)
{
    for (int index = 0; index < 4; ++index)
        this->addVm("n" + std::to_string(index), "north");
    for (int index = 0; index < 8; ++index)
        this->addVm("p" + std::to_string(index), "spare");
    this->addJob("catalogue", { memoryHeavyStep(1, 70'000) });
    this->settle();
    BOOST_TEST(PoolLoad::measure(this->tables, this->unixMs)[PoolId("north")].workers == 4U);
}

BOOST_AUTO_TEST_CASE(aWaveTakesDownNoMoreVmsThanItsMaximum)
{
    MaintenanceWave wave;
    wave.number = 1;
    wave.maximum = 2;
    wave.dueBy = Deadline::after(this->now, Seconds(30));
    for (int index = 0; index < 9; ++index) {
        this->addVm("n" + std::to_string(index), "north");
        wave.vms.emplace_back("n" + std::to_string(index));
    }
    auto ready = this->maintenance.advance(wave, this->vms, {}, this->now);
    BOOST_REQUIRE(ready.size() == 2U);
    std::map<VmId, Deadline> down;
    for (const auto& vm : ready)
        down[vm] = Deadline::after(this->now, Seconds(2));
    BOOST_TEST(this->maintenance.advance(wave, this->vms, down, this->now).empty());
}

/// Guards against a worker that stays without tasks until the end of the wave: it was drained, and starts again under
/// its id after the maintenance.
BOOST_AUTO_TEST_CASE(theDrainOfAVmEndsWithItsMaintenance)
{
    MaintenanceWave wave;
    wave.number = 1;
    wave.dueBy = Deadline::after(this->now, Seconds(30));
    for (const char* name : { "n0", "n1" }) {
        this->addVm(name, "north");
        wave.vms.emplace_back(name);
    }
    auto ready = this->maintenance.advance(wave, this->vms, {}, this->now);
    BOOST_REQUIRE(ready.size() == 1U);
    WorkerRow& worker = this->tables.workers.at(WorkerId("w-" + ready.front().string()));
    BOOST_TEST(worker.isDrainOrdered);
    wave.done.insert(ready.front());
    std::map<VmId, Deadline> down { { ready.front(), Deadline::after(this->now, Seconds(2)) } };
    this->maintenance.advance(wave, this->vms, down, this->now);
    BOOST_TEST(worker.isDrainOrdered);
    BOOST_TEST(this->maintenance.advance(wave, this->vms, {}, this->now).size() == 1U);
    BOOST_TEST(!worker.isDrainOrdered);
}

BOOST_AUTO_TEST_CASE(aWaveMakesNoMoreTasksUnavailableThanALongRunningStepAllows)
{
    MaintenanceWave wave;
    wave.number = 1;
    wave.maximum = 9;
    wave.dueBy = Deadline::after(this->now, Seconds(3));
    for (int index = 0; index < 3; ++index) {
        this->addVm("n" + std::to_string(index), "north");
        wave.vms.emplace_back("n" + std::to_string(index));
    }
    StepSpec longRunningStep = step(3, 100);
    longRunningStep.longRunning = true;
    longRunningStep.perWorkerLimit = 1;
    longRunningStep.maxUnavailableTasks = 1;
    this->addJob("long-running", { longRunningStep });
    this->placeAndRun();
    auto stopping = [this] {
        std::size_t count = 0;
        for (const auto& [id, worker] : this->tables.workers) {
            for (const auto& [name, attempt] : worker.attempts)
                count += attempt.phase == AttemptPhase::Stopping ? 1 : 0;
        }
        return count;
    };
    this->maintenance.advance(wave, this->vms, {}, this->now);
    this->maintenance.advance(wave, this->vms, {}, this->now);
    BOOST_TEST(stopping() == 1U);
}

/// Guards against a drain that waits for good: a long-running task that left the VM finds no other worker, and no other
/// task of its step may leave before it is back.
BOOST_AUTO_TEST_CASE(aDrainThatIsHeldUpGivesItsRoomBackToLongRunningTasks)
{
    MaintenanceWave wave;
    wave.number = 1;
    wave.dueBy = Deadline::after(this->now, Seconds(60));
    for (const char* name : { "n0", "n1" })
        this->addVm(name, "north");
    wave.vms = { VmId("n0") };
    StepSpec large = memoryHeavyStep(4, 30'000);
    large.maxUnavailableTasks = 1;
    this->addJob("catalogue", { large });
    this->placeAndRun();
    BOOST_REQUIRE(this->waitingTasks() == 0U);
    this->maintenance.advance(wave, this->vms, {}, this->now);
    this->endStopped();
    BOOST_REQUIRE(this->waitingTasks() == 1U);
    BOOST_TEST(this->playWave(wave, [this] { return this->waitingTasks() == 0U; }));
}

/// Guards against a drain whose VM has room, while tasks on it get time to end, for a long-running task that has waited
/// for long.
BOOST_AUTO_TEST_CASE(aDrainWithholdsRoomFromNoLongRunningTaskForThreeSeconds)
{
    for (const char* name : { "n0", "n1" })
        this->addVm(name, "north");
    this->addJob("catalogue", { memoryHeavyStep(4, 30'000) });
    this->placeAndRun();
    this->addJob("late", { memoryHeavyStep(1, 30'000) });
    this->addJob("burst", { step(1, 100) });
    this->placeAndRun();
    BOOST_REQUIRE(this->waitingTasks() == 1U);
    WorkerRow& worker = this->tables.workers.at(this->tables.findTask(task("burst", 0, 0))->worker);
    MaintenanceWave wave;
    wave.number = 1;
    wave.dueBy = Deadline::after(this->now, Seconds(60));
    wave.vms = { VmId("elsewhere") };
    this->playWave(wave, [] { return false; });
    wave.vms = { VmId(worker.info.id.string().substr(2)) };
    Instant begin = this->now;
    BOOST_TEST(this->playWave(wave, [&] { return worker.attempts.empty(); }));
    BOOST_TEST((this->now - begin < Seconds(3)));
}

/// Guards against a VM that stays drained because it is no longer part of the wave.
BOOST_AUTO_TEST_CASE(theDrainOfAVmThatTheWaveNoLongerNamesEnds)
{
    MaintenanceWave wave;
    wave.number = 1;
    wave.dueBy = Deadline::after(this->now, Seconds(60));
    for (const char* name : { "n0", "n1" })
        this->addVm(name, "north");
    wave.vms = { VmId("n0") };
    this->maintenance.advance(wave, this->vms, {}, this->now);
    const WorkerRow& worker = this->tables.workers.at(WorkerId("w-n0"));
    BOOST_TEST(worker.isDrainOrdered);
    wave.vms = { VmId("n1") };
    std::map<VmId, Deadline> down { { VmId("n0"), Deadline::never() } };
    this->maintenance.advance(wave, this->vms, down, this->now);
    BOOST_TEST(worker.isDrainOrdered);
    this->maintenance.advance(wave, this->vms, {}, this->now);
    BOOST_TEST(!worker.isDrainOrdered);
}

/// Guards against a task kept apart from others of its step that waits for good: the workers with room have one each.
BOOST_AUTO_TEST_CASE(aPoolGrowsForATaskThatIsKeptApartFromThoseOnWorkersWithRoom)
{
    for (int index = 0; index < 10; ++index)
        this->addVm("n" + std::to_string(index), "north");
    for (int index = 0; index < 8; ++index)
        this->addVm("p" + std::to_string(index), "spare");
    this->addJob("large", { memoryHeavyStep(4, 60'000) });
    this->placeAndRun();
    StepSpec apart = memoryHeavyStep(9, 10'000);
    apart.perWorkerLimit = 1;
    this->addJob("catalogue", { apart });
    this->placeAndRun();
    BOOST_TEST(movesTo(this->planMoves(), "north") == 3U);
    this->settle();
    BOOST_TEST(this->waitingTasks() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
