#include <coordinator/fleet/MoveTracker.h>
#include <coordinator/tests/FleetFixture.h>
#include <jobs/systems/PlacementSystem.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

/// Four idle workers of one pool, two more than it needs.
struct MoveFixture : FleetFixture {
    MoveFixture()
    {
        this->first = this->start("first");
        for (const char* name : { "1", "2", "3", "4" }) {
            WorkerId worker(std::string("w") + name);
            this->addVm(std::string("m") + name, "north", worker.string());
            WorkerRow& row = this->first->jobs.workers[worker];
            row.info.id = worker;
            row.info.pool = PoolId("north");
            row.info.capacity = { 8000, 64'000, 0 };
            row.isReached = true;
            row.isOnRoster = true;
        }
    }

    std::size_t openWorkers() const
    {
        Instant now = BootClock::now();
        const auto& workers = this->first->jobs.workers;
        return static_cast<std::size_t>(std::count_if(workers.begin(), workers.end(),
            [now](const auto& entry) { return PlacementSystem::acceptsTasks(entry.second, now); }));
    }

    /// Has the fleet answer the next moves like this, without moving a VM, and waits for two moves.
    void orderMoves(VmOrderOutcome outcome)
    {
        this->first->link.outcome = outcome;
        BOOST_REQUIRE(this->runUntil([this] { return this->fleet.orders.size() >= 2U; }));
        BOOST_TEST(this->openWorkers() == 2U);
        // Without a spare pool no further move is ordered.
        auto policies = std::make_shared<JobPolicies>(*this->first->jobs.policies);
        policies->pools.erase(PoolId("off"));
        this->first->jobs.policies = policies;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Moves, MoveFixture)

/// Guards against a worker that gets no task any more: its VM was to be moved, the order got no answer, and was not
/// carried out.
BOOST_AUTO_TEST_CASE(aWorkerWhoseMoveHadNoEffectAcceptsTasksAgain)
{
    this->orderMoves(VmOrderOutcome::NoAnswer);
    // Until then the order may take effect and end what runs there.
    this->runFor(Milliseconds(2000));
    BOOST_TEST(this->openWorkers() == 2U);
    BOOST_TEST(this->runUntil([this] { return this->openWorkers() == 4U; }, Milliseconds(3000)));
}

BOOST_AUTO_TEST_CASE(anAcceptedMoveThatHasNoEffectIsForgottenToo)
{
    this->first->link.isObedient = false;
    this->orderMoves(VmOrderOutcome::Accepted);
    BOOST_TEST(this->runUntil([this] { return this->openWorkers() == 4U; }, Milliseconds(5000)));
}

/// Guards against an old listing that is taken for the effect of the order.
BOOST_AUTO_TEST_CASE(onlyALaterListingEndsAMoveWithoutAnAnswer)
{
    this->orderMoves(VmOrderOutcome::NoAnswer);
    this->first->link.isListFailing = true;
    this->runFor(Milliseconds(4500));
    BOOST_TEST(this->openWorkers() == 2U);
    this->first->link.isListFailing = false;
    BOOST_TEST(this->runUntil([this] { return this->openWorkers() == 4U; }, Milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(aWorkerWhoseMoveWasRefusedAcceptsTasksAtOnce)
{
    this->first->link.outcome = VmOrderOutcome::Busy;
    BOOST_REQUIRE(this->runUntil([this] { return this->fleet.orders.size() >= 2U; }));
    BOOST_TEST(this->runUntil([this] { return this->openWorkers() == 4U; }, Milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(whatBecameOfAMoveIsReadFromTheListing)
{
    JobTables jobs;
    MoveTracker moves(jobs);
    VmInfo vm = this->fleet.vms.at(VmId("m1"));
    auto listed = [&vm](VmPhase state, const char* pool, const char* worker) {
        VmInfo info = vm;
        info.state = state;
        info.pool = PoolId(pool);
        info.worker = WorkerId(worker);
        return std::map<VmId, VmInfo> { { info.id, info } };
    };
    Instant sentAt { Seconds(100) };
    auto isLeavingAfter = [&](const std::map<VmId, VmInfo>& vms) {
        jobs.workers[vm.worker].isMoveOrdered = false;
        moves.begin(vm);
        moves.settleBy(vm.id, Deadline::after(sentAt, Seconds(3)));
        moves.settle(vms, sentAt + Seconds(2));
        moves.settle(vms, sentAt + Seconds(4));
        return jobs.workers[vm.worker].isMoveOrdered;
    };
    BOOST_TEST(!isLeavingAfter(listed(VmPhase::Up, "north", "w1")));
    BOOST_TEST(!isLeavingAfter(listed(VmPhase::Up, "south", "w1")));
    BOOST_TEST(isLeavingAfter(listed(VmPhase::Moving, "north", "w1")));
    // The worker of that id has ended, and its row goes with its lease.
    BOOST_TEST(isLeavingAfter(listed(VmPhase::Up, "south", "w9")));
    BOOST_TEST(isLeavingAfter({}));
}

BOOST_AUTO_TEST_SUITE_END()
