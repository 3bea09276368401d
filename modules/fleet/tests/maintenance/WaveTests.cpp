#include "FakeFleet.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace Greengage;

namespace {

constexpr unsigned seedCount = 40;
const WaveId weekly("weekly");

void expectNoViolations(const FakeFleet& fleet, unsigned seed)
{
    for (const auto& text : fleet.foundViolations())
        BOOST_ERROR("seed " << seed << ": " << text);
}

Schedule scheduleWithoutFailures(WaveAction action = WaveAction::Reboot)
{
    Schedule schedule;
    schedule.action = action;
    schedule.hasFailures = false;
    schedule.losesAnswers = false;
    return schedule;
}

/// Acts as an operator who completes the wave: starts it if the start was not stored, and resumes it when it is stuck.
void finishWave(FakeFleet& fleet)
{
    for (int round = 0; round < 60 && !fleet.isDone(); round++) {
        if (!fleet.stored().find(weekly))
            fleet.submitCommand(WaveVerb::Start);
        else if (fleet.state() == WaveState::Stuck)
            fleet.submitCommand(WaveVerb::Resume);
        fleet.run(Seconds(20));
    }
}

std::size_t vmCount(const FakeFleet& fleet, const char* pool)
{
    for (const auto& candidate : fleet.document().pools) {
        if (candidate.name == PoolId(pool))
            return candidate.vms.size();
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MaintenanceWaveSuite)

BOOST_AUTO_TEST_CASE(rebootWavesKeepEveryInvariantUnderFailures)
{
    for (unsigned seed = 1; seed <= seedCount; seed++) {
        FakeFleet fleet({ seed });
        fleet.submitCommand(WaveVerb::Start);
        fleet.run(Seconds(300));
        fleet.stopFailures();
        finishWave(fleet);
        expectNoViolations(fleet, seed);
        BOOST_TEST(fleet.isDone(), "seed " << seed << " ended " << nameOf(fleet.state()));
        for (const auto& [id, vm] : fleet.platformVms())
            BOOST_TEST(vm.reboots == 1, "seed " << seed << ": " << id.string() << " rebooted " << vm.reboots);
    }
}

BOOST_AUTO_TEST_CASE(moveWavesKeepEachVmInOnePoolUnderFailures)
{
    for (unsigned seed = 1; seed <= seedCount; seed++) {
        FakeFleet fleet({ seed, WaveAction::Move });
        fleet.submitCommand(WaveVerb::Start);
        fleet.run(Seconds(300));
        fleet.stopFailures();
        finishWave(fleet);
        expectNoViolations(fleet, seed);
        BOOST_TEST(fleet.isDone(), "seed " << seed << " ended " << nameOf(fleet.state()));
        BOOST_TEST(vmCount(fleet, "stock") == 18U, "seed " << seed);
        BOOST_TEST(fleet.document().revision == 10U, "seed " << seed << ": a VM was moved more than once");
    }
}

BOOST_AUTO_TEST_CASE(rolledBackMoveWavesReturnEveryVm)
{
    for (unsigned seed = 1; seed <= seedCount; seed++) {
        FakeFleet fleet({ seed, WaveAction::Move });
        fleet.submitCommand(WaveVerb::Start);
        fleet.run(Seconds(80));
        if (!fleet.stored().find(weekly))
            continue;
        fleet.submitCommand(WaveVerb::Rollback);
        fleet.run(Seconds(100));
        fleet.stopFailures();
        for (int round = 0; round < 60 && fleet.state() != WaveState::RolledBack; round++) {
            if (fleet.state() != WaveState::RollingBack)
                fleet.submitCommand(WaveVerb::Rollback);
            fleet.run(Seconds(20));
        }
        expectNoViolations(fleet, seed);
        BOOST_TEST((fleet.state() == WaveState::RolledBack), "seed " << seed << " ended " << nameOf(fleet.state()));
        BOOST_TEST(vmCount(fleet, "pricing") == 9U, "seed " << seed);
        BOOST_TEST(fleet.stored().vms.empty());
    }
}

BOOST_AUTO_TEST_CASE(aVmThatDoesNotDrainInTimeIsReturnedToServiceAndReported)
{
    FakeFleet fleet(scheduleWithoutFailures());
    fleet.occupy(VmId("stock-4"), Seconds(400));
    fleet.submitCommand(WaveVerb::Start);
    fleet.run(Seconds(390));
    expectNoViolations(fleet, 1);
    BOOST_TEST((fleet.state() == WaveState::Stuck));
    BOOST_TEST(fleet.rebootCount(VmId("stock-4")) == 0);
    BOOST_TEST((fleet.stored().find(weekly)->stuck == std::vector<VmId> { VmId("stock-4") }));
    BOOST_TEST(fleet.eventCounts[WaveEventKind::DrainTimedOut] == 1);
    finishWave(fleet);
    BOOST_TEST(fleet.isDone());
    BOOST_TEST(fleet.rebootCount(VmId("stock-4")) == 1);
}

BOOST_AUTO_TEST_CASE(unplannedFailuresStopTheWaveAndCancelDrains)
{
    FakeFleet fleet(scheduleWithoutFailures());
    for (const auto& [id, vm] : fleet.platformVms())
        fleet.occupy(id, Seconds(30));
    fleet.submitCommand(WaveVerb::Start);
    fleet.run(Seconds(10));
    BOOST_TEST(fleet.stored().vms.size() == 4U);
    for (int index = 0; index < 9; index++) {
        for (const char* service : { "stock-", "pricing-" }) {
            VmId id(service + std::to_string(index));
            if (!fleet.stored().find(id))
                fleet.failVm(id, Seconds(60));
        }
    }
    fleet.run(Seconds(10));
    BOOST_TEST(fleet.eventCounts[WaveEventKind::DrainCancelled] == 4);
    BOOST_TEST(fleet.stored().vms.empty());
    fleet.run(Seconds(40));
    BOOST_TEST(fleet.stored().vms.empty());
    finishWave(fleet);
    BOOST_TEST(fleet.isDone());
}

BOOST_AUTO_TEST_CASE(aCutZoneCountsAsOutOfService)
{
    FakeFleet fleet(scheduleWithoutFailures());
    fleet.run(Seconds(5));
    fleet.cutZone(ZoneId("zone-2"), Seconds(60));
    fleet.run(Seconds(20));
    fleet.submitCommand(WaveVerb::Start);
    fleet.run(Seconds(35));
    BOOST_TEST(fleet.eventCounts[WaveEventKind::DrainStarted] == 0);
    finishWave(fleet);
    BOOST_TEST(fleet.isDone());
}

BOOST_AUTO_TEST_CASE(pauseFinishesDrainsInProgressAndStartsNoNewOnes)
{
    FakeFleet fleet(scheduleWithoutFailures());
    fleet.submitCommand(WaveVerb::Start);
    fleet.run(Seconds(30));
    fleet.submitCommand(WaveVerb::Pause);
    fleet.run(Seconds(60));
    auto started = fleet.eventCounts[WaveEventKind::DrainStarted];
    BOOST_TEST(fleet.stored().vms.empty());
    fleet.run(Seconds(60));
    BOOST_TEST(fleet.eventCounts[WaveEventKind::DrainStarted] == started);
    BOOST_TEST((fleet.state() == WaveState::Paused));
    fleet.submitCommand(WaveVerb::Resume);
    finishWave(fleet);
    BOOST_TEST(fleet.isDone());
}

BOOST_AUTO_TEST_CASE(everyCommandIsSettledOnce)
{
    FakeFleet fleet(scheduleWithoutFailures());
    fleet.submitCommand(WaveVerb::Resume);
    fleet.run(Seconds(10));
    fleet.submitCommand(WaveVerb::Start);
    fleet.run(Seconds(10));
    fleet.stopStore(Seconds(100));
    fleet.submitCommand(WaveVerb::Pause);
    fleet.run(Seconds(90));
    BOOST_REQUIRE(fleet.settled.size() == 3U);
    BOOST_TEST((fleet.settled[0].outcome == CommandOutcome::WrongState));
    BOOST_TEST((fleet.settled[1].outcome == CommandOutcome::Accepted));
    BOOST_TEST((fleet.settled[2].outcome == CommandOutcome::NotAccepted
        || fleet.settled[2].outcome == CommandOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
