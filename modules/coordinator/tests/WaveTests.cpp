#include <coordinator/tests/FleetFixture.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

/// A leader that has listed the fleet, which VMs join and leave.
struct WaveFixture : FleetFixture {
    WaveFixture()
    {
        for (const char* name : { "m1", "m2", "m3" })
            this->addVm(name, "north");
        this->first = this->start("first");
        this->runUntil([this] { return this->first->leadership.isLeader(); });
        this->runFor(openOrders + Milliseconds(200));
    }

    void orderWave(const std::vector<VmId>& vms)
    {
        MaintenanceWave wave;
        wave.number = 1;
        wave.vms = vms;
        wave.receivedAt = BootClock::now();
        wave.dueBy = Deadline::after(BootClock::now(), Seconds(20));
        this->first->waves[1] = wave;
    }

    bool isCompleted() const { return this->first->completedWaves.contains(1); }

    bool hasBegun(const char* vm) const
    {
        return std::any_of(this->fleet.orders.begin(), this->fleet.orders.end(),
            [vm](const auto& order) { return order.vm == VmId(vm) && order.outcome == VmOrderOutcome::Accepted; });
    }

    /// Checks that a wave for a VM that has left is completed without its maintenance.
    void checkVmIsLeftOut(const char* vm)
    {
        this->fleet.vms.erase(VmId(vm));
        this->runFor(Milliseconds(700));
        this->orderWave({ VmId(vm) });
        BOOST_TEST(this->runUntil([this] { return this->isCompleted(); }, Milliseconds(2000)));
        BOOST_TEST(!this->hasBegun(vm));
    }

    /// Checks that the wave is completed, and not before the maintenance of its VM has begun.
    void checkVmIsMaintained(const char* vm)
    {
        BOOST_TEST(this->runUntil([this] { return this->isCompleted(); }, Milliseconds(3000)));
        BOOST_TEST(this->hasBegun(vm));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Waves, WaveFixture)

/// Guards against a wave that is completed without its VM, which joined after the last listing.
BOOST_AUTO_TEST_CASE(aVmThatTheOldListingLacksIsMaintained)
{
    this->first->link.isListFailing = true;
    this->addVm("new", "north");
    this->orderWave({ VmId("new") });
    this->runFor(Milliseconds(1500));
    BOOST_TEST(!this->isCompleted());
    this->first->link.isListFailing = false;
    this->checkVmIsMaintained("new");
}

/// Guards against the same while listings succeed: the wave comes before the next one.
BOOST_AUTO_TEST_CASE(aVmThatJoinsJustBeforeItsWaveIsMaintained)
{
    this->addVm("new", "north");
    this->orderWave({ VmId("new") });
    this->checkVmIsMaintained("new");
}

/// Guards against a wave that is completed without a VM that one listing misses between its pages.
BOOST_AUTO_TEST_CASE(aVmThatOneListingMissesIsMaintained)
{
    // Its maintenance cannot begin at once.
    this->fleet.vms.at(VmId("m2")).state = VmPhase::Moving;
    this->runFor(Milliseconds(700));
    this->orderWave({ VmId("m2") });
    this->first->link.missedOnce = { VmId("m2") };
    this->runFor(Milliseconds(1200));
    BOOST_TEST(!this->isCompleted());
    this->fleet.vms.at(VmId("m2")).state = VmPhase::Up;
    this->checkVmIsMaintained("m2");
}

/// Guards against a wave that is completed without its VM, which each listing lacks since all show an old fleet.
BOOST_AUTO_TEST_CASE(aVmThatAllListingsLackIsMaintained)
{
    this->first->link.oldFleet = this->fleet.vms;
    this->addVm("new", "north");
    this->orderWave({ VmId("new") });
    this->checkVmIsMaintained("new");
}

/// Guards against the same beside other VMs of the wave.
BOOST_AUTO_TEST_CASE(aVmThatAllListingsLackIsMaintainedBesideOthers)
{
    this->first->link.oldFleet = this->fleet.vms;
    this->addVm("new", "north");
    this->orderWave({ VmId("new"), VmId("m1"), VmId("m2") });
    BOOST_TEST(this->runUntil([this] { return this->hasBegun("m1"); }, Milliseconds(3000)));
    // Two VMs of a wave are never down at once, whether they are listed or not.
    BOOST_TEST(!this->hasBegun("m2"));
    BOOST_TEST(!this->hasBegun("new"));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted(); }, Milliseconds(12'000)));
    BOOST_TEST(this->hasBegun("m2"));
    BOOST_TEST(this->hasBegun("new"));
}

/// Guards against a VM that is taken down while its worker runs tasks, since no listing shows that they belong
/// together.
BOOST_AUTO_TEST_CASE(aVmWhoseWorkerIsInTouchIsNotTakenDownUnlisted)
{
    this->first->link.oldFleet = this->fleet.vms;
    this->addVm("new", "north", "w-new");
    WorkerRow& row = this->first->jobs.workers[WorkerId("w-new")];
    row.info.id = WorkerId("w-new");
    row.info.pool = PoolId("north");
    this->orderWave({ VmId("new") });
    this->runFor(Milliseconds(2000));
    BOOST_TEST(!this->hasBegun("new"));
    BOOST_TEST(!this->isCompleted());
    this->first->link.oldFleet.reset();
    this->checkVmIsMaintained("new");
}

/// Guards against a wave that is completed while it is not known whether its VM has left: the answer was lost.
BOOST_AUTO_TEST_CASE(anUnansweredOrderDoesNotShowThatAVmHasLeft)
{
    this->first->link.oldFleet = this->fleet.vms;
    this->first->link.outcome = VmOrderOutcome::NoAnswer;
    this->addVm("new", "north");
    this->orderWave({ VmId("new") });
    this->runFor(Milliseconds(2500));
    BOOST_TEST(!this->isCompleted());
    this->first->link.outcome = VmOrderOutcome::Accepted;
    this->checkVmIsMaintained("new");
}

/// Guards against more VMs down than the wave allows: an old listing shows as up a VM whose maintenance goes on.
BOOST_AUTO_TEST_CASE(aVmInMaintenanceCountsAsDownUntilANewListing)
{
    this->orderWave({ VmId("m1"), VmId("m2") });
    BOOST_REQUIRE(this->runUntil([this] { return this->hasBegun("m1"); }));
    this->first->link.isListFailing = true;
    this->fleet.vms.at(VmId("m1")).state = VmPhase::InMaintenance;
    this->runFor(Milliseconds(4000));
    BOOST_TEST(!this->hasBegun("m2"));
    this->fleet.vms.at(VmId("m1")).state = VmPhase::Up;
    this->first->link.isListFailing = false;
    this->checkVmIsMaintained("m2");
}

BOOST_AUTO_TEST_CASE(aWaveIsCompletedWithoutAVmThatHasLeft) { this->checkVmIsLeftOut("m2"); }

/// Guards against orders that are repeated to a VM that has left, while the wave goes on for others.
BOOST_AUTO_TEST_CASE(aVmThatHasLeftGetsOneOrder)
{
    this->fleet.vms.at(VmId("m1")).state = VmPhase::Moving;
    this->fleet.vms.erase(VmId("m2"));
    this->runFor(Milliseconds(700));
    this->orderWave({ VmId("m1"), VmId("m2") });
    this->runFor(Milliseconds(4000));
    BOOST_TEST(!this->isCompleted());
    BOOST_TEST(this->fleet.orders.size() == 1U);
    this->fleet.vms.at(VmId("m1")).state = VmPhase::Up;
    this->checkVmIsMaintained("m1");
}

/// Guards against a wave that never ends: an order to a VM that has left may be answered like one to a VM that is
/// leaving.
BOOST_AUTO_TEST_CASE(aWaveIsCompletedWithoutAVmThatHasLeftAndIsAnsweredAsBusy)
{
    this->first->link.absentOutcome = VmOrderOutcome::Busy;
    this->checkVmIsLeftOut("m2");
}

BOOST_AUTO_TEST_SUITE_END()
