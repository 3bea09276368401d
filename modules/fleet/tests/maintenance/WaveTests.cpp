#include "FakeFleet.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace Greengage;

namespace {

constexpr unsigned seedCount = 40;
const WaveId weekly("weekly");

void expectNothingBroken(const FakeFleet& fleet, unsigned seed)
{
    for (const auto& text : fleet.broken())
        BOOST_ERROR("seed " << seed << ": " << text);
}

Schedule calmSchedule(WaveAction action = WaveAction::Reboot)
{
    Schedule schedule;
    schedule.action = action;
    schedule.hasFailures = false;
    schedule.losesAnswers = false;
    return schedule;
}

/// Does what an operator does who sees to the end of a wave: starts it if it was never taken, resumes it when stuck.
void finishWave(FakeFleet& fleet)
{
    for (int round = 0; round < 60 && !fleet.isDone(); round++) {
        if (!fleet.stored().find(weekly))
            fleet.command(WaveVerb::Start);
        else if (fleet.state() == WaveState::Stuck)
            fleet.command(WaveVerb::Resume);
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

BOOST_AUTO_TEST_CASE(rebootWavesHoldEveryPromiseUnderFailures)
{
    for (unsigned seed = 1; seed <= seedCount; seed++) {
        FakeFleet fleet({ seed });
        fleet.command(WaveVerb::Start);
        fleet.run(Seconds(300));
        fleet.calm();
        finishWave(fleet);
        expectNothingBroken(fleet, seed);
        BOOST_TEST(fleet.isDone(), "seed " << seed << " ended " << nameOf(fleet.state()));
        for (const auto& [id, vm] : fleet.platformVms())
            BOOST_TEST(vm.reboots == 1, "seed " << seed << ": " << id.string() << " rebooted " << vm.reboots);
    }
}

BOOST_AUTO_TEST_CASE(moveWavesKeepEachVmInOnePoolUnderFailures)
{
    for (unsigned seed = 1; seed <= seedCount; seed++) {
        FakeFleet fleet({ seed, WaveAction::Move });
        fleet.command(WaveVerb::Start);
        fleet.run(Seconds(300));
        fleet.calm();
        finishWave(fleet);
        expectNothingBroken(fleet, seed);
        BOOST_TEST(fleet.isDone(), "seed " << seed << " ended " << nameOf(fleet.state()));
        BOOST_TEST(vmCount(fleet, "stock") == 18U, "seed " << seed);
        BOOST_TEST(fleet.document().revision == 10U, "seed " << seed << ": a VM was moved more than once");
    }
}

BOOST_AUTO_TEST_CASE(rolledBackMoveWavesReturnEveryVm)
{
    for (unsigned seed = 1; seed <= seedCount; seed++) {
        FakeFleet fleet({ seed, WaveAction::Move });
        fleet.command(WaveVerb::Start);
        fleet.run(Seconds(80));
        if (!fleet.stored().find(weekly))
            continue;
        fleet.command(WaveVerb::Rollback);
        fleet.run(Seconds(100));
        fleet.calm();
        for (int round = 0; round < 60 && fleet.state() != WaveState::RolledBack; round++) {
            if (fleet.state() != WaveState::RollingBack)
                fleet.command(WaveVerb::Rollback);
            fleet.run(Seconds(20));
        }
        expectNothingBroken(fleet, seed);
        BOOST_TEST((fleet.state() == WaveState::RolledBack), "seed " << seed << " ended " << nameOf(fleet.state()));
        BOOST_TEST(vmCount(fleet, "pricing") == 9U, "seed " << seed);
        BOOST_TEST(fleet.stored().vms.empty());
    }
}

BOOST_AUTO_TEST_CASE(aVmThatWillNotDrainIsPutBackAndReported)
{
    FakeFleet fleet(calmSchedule());
    fleet.occupy(VmId("stock-4"), Seconds(400));
    fleet.command(WaveVerb::Start);
    fleet.run(Seconds(390));
    expectNothingBroken(fleet, 1);
    BOOST_TEST((fleet.state() == WaveState::Stuck));
    BOOST_TEST(fleet.rebootCount(VmId("stock-4")) == 0);
    BOOST_TEST((fleet.stored().find(weekly)->stuck == std::vector<VmId> { VmId("stock-4") }));
    BOOST_TEST(fleet.eventCounts[WaveEventKind::DrainTimedOut] == 1);
    finishWave(fleet);
    BOOST_TEST(fleet.isDone());
    BOOST_TEST(fleet.rebootCount(VmId("stock-4")) == 1);
}

BOOST_AUTO_TEST_CASE(unplannedFailuresStopTheWaveAndRecallDrains)
{
    FakeFleet fleet(calmSchedule());
    for (const auto& [id, vm] : fleet.platformVms())
        fleet.occupy(id, Seconds(30));
    fleet.command(WaveVerb::Start);
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
    BOOST_TEST(fleet.eventCounts[WaveEventKind::PutBack] == 4);
    BOOST_TEST(fleet.stored().vms.empty());
    fleet.run(Seconds(40));
    BOOST_TEST(fleet.stored().vms.empty());
    finishWave(fleet);
    BOOST_TEST(fleet.isDone());
}

BOOST_AUTO_TEST_CASE(aCutZoneCountsAsOutOfService)
{
    FakeFleet fleet(calmSchedule());
    fleet.run(Seconds(5));
    fleet.cutZone(ZoneId("zone-2"), Seconds(60));
    fleet.run(Seconds(20));
    fleet.command(WaveVerb::Start);
    fleet.run(Seconds(35));
    BOOST_TEST(fleet.eventCounts[WaveEventKind::DrainStarted] == 0);
    finishWave(fleet);
    BOOST_TEST(fleet.isDone());
}

BOOST_AUTO_TEST_CASE(pauseFinishesWhatIsUnderWayAndTakesNothingNew)
{
    FakeFleet fleet(calmSchedule());
    fleet.command(WaveVerb::Start);
    fleet.run(Seconds(30));
    fleet.command(WaveVerb::Pause);
    fleet.run(Seconds(60));
    auto started = fleet.eventCounts[WaveEventKind::DrainStarted];
    BOOST_TEST(fleet.stored().vms.empty());
    fleet.run(Seconds(60));
    BOOST_TEST(fleet.eventCounts[WaveEventKind::DrainStarted] == started);
    BOOST_TEST((fleet.state() == WaveState::Paused));
    fleet.command(WaveVerb::Resume);
    finishWave(fleet);
    BOOST_TEST(fleet.isDone());
}

BOOST_AUTO_TEST_CASE(everyCommandIsSettledOnce)
{
    FakeFleet fleet(calmSchedule());
    fleet.command(WaveVerb::Resume);
    fleet.run(Seconds(10));
    fleet.command(WaveVerb::Start);
    fleet.run(Seconds(10));
    fleet.stopStore(Seconds(100));
    fleet.command(WaveVerb::Pause);
    fleet.run(Seconds(90));
    BOOST_REQUIRE(fleet.settled.size() == 3U);
    BOOST_TEST((fleet.settled[0].outcome == CommandOutcome::WrongState));
    BOOST_TEST((fleet.settled[1].outcome == CommandOutcome::Accepted));
    BOOST_TEST((fleet.settled[2].outcome == CommandOutcome::NotAccepted
        || fleet.settled[2].outcome == CommandOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
