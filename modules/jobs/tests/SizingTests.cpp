#include "JobTablesFixture.h"

#include <jobs/model/MaintenanceWave.h>
#include <jobs/systems/MaintenanceSystem.h>
#include <jobs/systems/PoolSizing.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

struct FleetFixture : JobTablesFixture {
    void addMachine(const std::string& id, const char* pool)
    {
        VmInfo facts;
        facts.id = VmId(id);
        facts.pool = PoolId(pool);
        facts.state = VmPhase::Up;
        facts.capacity = { 8000, 64'000, 0 };
        if (std::string(pool) != "spare") {
            facts.worker = WorkerId("w-" + id);
            this->addWorker("w-" + id, pool);
        }
        this->machines[facts.id] = facts;
    }

    std::vector<MoveOrder> planMoves() { return this->sizing.advance(this->machines, {}, {}, this->now, this->unixMs); }

    std::map<VmId, VmInfo> machines;
    PoolSizing sizing { this->board };
    MaintenanceSystem maintenance { this->board };
};

std::size_t movesTo(const std::vector<MoveOrder>& orders, const char* pool)
{
    return static_cast<std::size_t>(
        std::count_if(orders.begin(), orders.end(), [&](const auto& order) { return order.to.string() == pool; }));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Sizing, FleetFixture)

/// One queue asks for several times the capacity of its pool, the other for almost nothing.
BOOST_AUTO_TEST_CASE(aBurstMovesVmsFromTheSparePoolAndThenFromIdlePools)
{
    for (int index = 0; index < 4; ++index) {
        this->addMachine("n" + std::to_string(index), "north");
        this->addMachine("s" + std::to_string(index), "south");
    }
    this->addMachine("p0", "spare");
    this->addJob("burst", { step(56, 1000) });
    this->placeAndRun();
    auto orders = this->planMoves();
    // 56 cores and a reserve of two VMs of eight cores require nine VMs. Beyond the four in the pool and the spare one,
    // two more come from the idle pool, which keeps its reserve.
    BOOST_TEST(movesTo(orders, "north") == 3U);
    BOOST_TEST((orders.front().from.string() == "spare"));
    for (const auto& order : orders) {
        if (auto* worker = this->board.findWorker(this->machines.at(order.machine).worker))
            BOOST_TEST(worker->attempts.empty());
    }
}

BOOST_AUTO_TEST_CASE(arrivingWorkMovesVmsBeforeAnyTaskWaits)
{
    for (int index = 0; index < 3; ++index)
        this->addMachine("n" + std::to_string(index), "north");
    for (int index = 0; index < 4; ++index)
        this->addMachine("p" + std::to_string(index), "spare");
    JobSpec spec;
    spec.steps = { step(10, 1000) };
    for (int arrival = 0; arrival < 3; ++arrival)
        this->sizing.noteArrival(PoolId("north"), spec, this->now);
    BOOST_TEST(movesTo(this->planMoves(), "north") > 0U);
}

BOOST_AUTO_TEST_CASE(idleVmsBeyondTheReserveAreSwitchedOffAfterTheRetention)
{
    for (int index = 0; index < 5; ++index)
        this->addMachine("n" + std::to_string(index), "north");
    for (int index = 0; index < PoolSizing::reserveMachines; ++index)
        this->addMachine("s" + std::to_string(index), "south");
    BOOST_TEST(movesTo(this->planMoves(), "spare") == 0U);
    this->advance(PoolSizing::idleRetention);
    BOOST_TEST(movesTo(this->planMoves(), "spare") == 5U - PoolSizing::reserveMachines);
}

BOOST_AUTO_TEST_CASE(aVmWithAttemptsIsNeverMoved)
{
    for (int index = 0; index < 5; ++index)
        this->addMachine("n" + std::to_string(index), "north");
    StepSpec longRunning = step(5, 100);
    longRunning.lasting = true;
    longRunning.perWorkerLimit = 1;
    this->addJob("long-running", { longRunning });
    this->placeAndRun();
    this->planMoves();
    this->advance(Seconds(60));
    BOOST_TEST(this->planMoves().empty());
}

BOOST_AUTO_TEST_CASE(aPoolHasAsManyVmsAsALongRunningStepNeedsWorkers)
{
    for (int index = 0; index < 8; ++index)
        this->addMachine("p" + std::to_string(index), "spare");
    this->addMachine("n0", "north");
    StepSpec longRunning = step(5, 100);
    longRunning.lasting = true;
    longRunning.perWorkerLimit = 1;
    this->addJob("long-running", { longRunning });
    this->placeAndRun();
    BOOST_TEST(movesTo(this->planMoves(), "north") >= 4U);
}

BOOST_AUTO_TEST_CASE(aWaveTakesDownNoMoreVmsThanItsMaximum)
{
    MaintenanceWave wave;
    wave.number = 1;
    wave.maximum = 2;
    wave.dueBy = Deadline::after(this->now, Seconds(30));
    for (int index = 0; index < 9; ++index) {
        this->addMachine("n" + std::to_string(index), "north");
        wave.machines.emplace_back("n" + std::to_string(index));
    }
    auto ready = this->maintenance.advance(wave, this->machines, {}, this->now);
    BOOST_REQUIRE(ready.size() == 2U);
    std::map<VmId, Deadline> down;
    for (const auto& machine : ready)
        down[machine] = Deadline::after(this->now, Seconds(2));
    BOOST_TEST(this->maintenance.advance(wave, this->machines, down, this->now).empty());
}

BOOST_AUTO_TEST_CASE(aWaveStopsNoMoreTasksThanALongRunningStepMayMiss)
{
    MaintenanceWave wave;
    wave.number = 1;
    wave.maximum = 9;
    wave.dueBy = Deadline::after(this->now, Seconds(3));
    for (int index = 0; index < 3; ++index) {
        this->addMachine("n" + std::to_string(index), "north");
        wave.machines.emplace_back("n" + std::to_string(index));
    }
    StepSpec longRunning = step(3, 100);
    longRunning.lasting = true;
    longRunning.perWorkerLimit = 1;
    longRunning.mayMiss = 1;
    this->addJob("long-running", { longRunning });
    this->placeAndRun();
    auto stopping = [this] {
        std::size_t count = 0;
        for (const auto& [id, worker] : this->board.workers) {
            for (const auto& [name, attempt] : worker.attempts)
                count += attempt.phase == AttemptPhase::Stopping ? 1 : 0;
        }
        return count;
    };
    this->maintenance.advance(wave, this->machines, {}, this->now);
    this->maintenance.advance(wave, this->machines, {}, this->now);
    BOOST_TEST(stopping() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
