#include "JobTablesFixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Greengage;

BOOST_FIXTURE_TEST_SUITE(Placement, JobTablesFixture)

BOOST_AUTO_TEST_CASE(nothingIsPlacedBeyondAWorkersCapacity)
{
    WorkerRow& worker = this->addWorker("w1", "north", 2500);
    this->addJob("j", { step(5, 1000) });
    BOOST_TEST(this->place().size() == 2U);
    BOOST_TEST(worker.occupied.cpuMillis == 2000);
}

BOOST_AUTO_TEST_CASE(aStoppingAttemptStillOccupiesCapacity)
{
    WorkerRow& worker = this->addWorker("w1", "north", 1000);
    JobRow& job = this->addJob("j", { step(1, 1000) });
    this->placeAndRun();
    this->tables.endJob(job, JobState::Cancelled);
    this->addJob("k", { step(1, 1000) });
    BOOST_TEST(this->place().empty());
    BOOST_TEST(worker.occupied.cpuMillis == 1000);
}

BOOST_AUTO_TEST_CASE(aTeamStaysWithinItsMaximumAcrossPools)
{
    this->addWorker("n", "north", 64'000);
    this->addWorker("s", "south", 64'000);
    this->limitTeam("bakers", { 3000, 0, 0 });
    this->addJob("j", { step(2, 1000) }, "quick");
    this->addJob("k", { step(2, 1000) }, "distant");
    BOOST_TEST(this->place().size() == 3U);
    BOOST_TEST(this->tables.usage[TeamId("bakers")].cpuMillis == 3000);
}

BOOST_AUTO_TEST_CASE(tasksOfAStepKeepToTheirLimitPerWorker)
{
    this->addWorker("w1");
    this->addWorker("w2");
    StepSpec limited = step(4, 100);
    limited.perWorkerLimit = 1;
    this->addJob("j", { limited });
    auto orders = this->place();
    BOOST_TEST(orders.size() == 2U);
    std::set<WorkerId> used;
    for (const auto& order : orders)
        used.insert(order.worker);
    BOOST_TEST(used.size() == 2U);
}

BOOST_AUTO_TEST_CASE(aTaskNeedsItsLabel)
{
    this->addWorker("plain");
    StepSpec labelled = step(1, 100);
    labelled.requiredLabel = "gpu-kind";
    this->addJob("j", { labelled });
    BOOST_TEST(this->place().empty());
    this->addWorker("labelled").info.labels = { "gpu-kind", "rack-2" };
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().worker.string() == "labelled");
}

BOOST_AUTO_TEST_CASE(nothingIsPlacedOnWorkersThatLeaveOrAreSuspect)
{
    this->addWorker("draining").info.draining = true;
    this->addWorker("suspect").isSuspect = true;
    this->addWorker("unlisted").isListed = false;
    this->addWorker("unreached").isReached = false;
    this->addWorker("unrecorded").isOnRoster = false;
    this->addWorker("being-drained").isDrainOrdered = true;
    this->addWorker("being-moved").isMoveOrdered = true;
    this->addWorker("other", "south");
    this->addJob("j", { step(1, 100) });
    BOOST_TEST(this->place().empty());
}

BOOST_AUTO_TEST_CASE(aSmallerTaskFitsWhereALargerOneDidNot)
{
    this->addWorker("w1", "north", 1500);
    this->addJob("a-large", { step(3, 2000) });
    this->addJob("b-small", { step(1, 1000) });
    this->addJob("c-larger", { step(1, 3000) });
    this->addJob("d-tiny", { step(1, 400) });
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 2U);
    BOOST_TEST((orders[0].task.job == JobId("b-small")));
    BOOST_TEST((orders[1].task.job == JobId("d-tiny")));
}

/// One team submits far more than the others while the fleet is full.
BOOST_AUTO_TEST_CASE(aTeamOverItsShareIsPlacedAfterTheOthers)
{
    this->addWorker("w1", "north", 8000);
    this->policies->teams[TeamId("hot")] = { TeamId("hot"), 1, {} };
    this->policies->teams[TeamId("calm")] = { TeamId("calm"), 1, {} };
    this->addJob("flood", { step(6, 1000) }, "quick", "hot");
    BOOST_TEST(this->placeAndRun().size() == 6U);
    this->addJob("a-more", { step(6, 1000) }, "quick", "hot");
    this->advance(Milliseconds(100));
    this->addJob("b-calm", { step(2, 1000) }, "quick", "calm");
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 2U);
    for (const auto& order : orders)
        BOOST_TEST((order.task.job == JobId("b-calm")));
}

BOOST_AUTO_TEST_CASE(aLargerWeightGivesALargerShare)
{
    this->addWorker("w1", "north", 8000);
    this->policies->teams[TeamId("large")] = { TeamId("large"), 4, {} };
    this->policies->teams[TeamId("small")] = { TeamId("small"), 1, {} };
    this->addJob("first", { step(6, 1000) }, "quick", "large");
    BOOST_TEST(this->placeAndRun().size() == 6U);
    this->addJob("a-large", { step(2, 1000) }, "quick", "large");
    this->advance(Milliseconds(100));
    this->addJob("b-small", { step(2, 1000) }, "quick", "small");
    for (const auto& order : this->place())
        BOOST_TEST((order.task.job == JobId("a-large")));
}

/// More tasks prefer one rack than it has capacity for.
BOOST_AUTO_TEST_CASE(aTaskWaitsForItsRackIfItWouldBeLateElsewhere)
{
    this->addWorker("near", "north", 1000).info.labels = { "a", "rack-7" };
    this->addWorker("far", "north", 8000);
    StepSpec local = step(2, 1000, Milliseconds(1000));
    local.preferredRack = "rack-7";
    this->addJob("j", { local });
    // The job is on time within twice its second of work plus 600 ms. On the far worker, the work would take 3 s.
    PlacementSystem placement(this->tables, 3);
    auto orders = placement.place(this->now, this->unixMs);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders.front().worker == WorkerId("near")));
    this->advance(PlacementSystem::maxRackWait);
    BOOST_TEST(placement.place(this->now, this->unixMs).size() == 1U);
    // A short task is on time on the far worker, too.
    StepSpec quick = step(1, 1000, Milliseconds(100));
    quick.preferredRack = "rack-7";
    this->addJob("k", { quick });
    BOOST_TEST(placement.place(this->now, this->unixMs).size() == 1U);
}

BOOST_AUTO_TEST_CASE(allMembersOfAGangStartOrNone)
{
    WorkerRow& worker = this->addWorker("w1", "north", 2000);
    StepSpec gang = step(3, 1000);
    gang.gang = true;
    this->addJob("j", { gang });
    BOOST_TEST(this->place().empty());
    BOOST_TEST(worker.occupied.cpuMillis == 0);
    this->addWorker("w2", "north", 1000);
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 3U);
    for (const auto& order : orders)
        BOOST_TEST(order.run == orders.front().run);
}

BOOST_AUTO_TEST_CASE(aGangThatDoesNotFitHasNotStartedAndIsNotStored)
{
    this->addWorker("w1", "north", 2000);
    StepSpec gang = step(3, 1000);
    gang.gang = true;
    JobRow& job = this->addJob("j", { gang });
    this->place();
    BOOST_TEST(!job.hasStarted);
    BOOST_TEST((job.state == JobState::Waiting));
    BOOST_TEST(this->tables.unsavedJobs.empty());
}

/// Guards against a long-running gang that waits for room and is stored anew in each tick.
BOOST_AUTO_TEST_CASE(aLongRunningGangThatDoesNotFitIsNotStored)
{
    this->addWorker("w1", "north", 2000);
    StepSpec gang = step(3, 1000);
    gang.gang = true;
    gang.longRunning = true;
    this->addJob("j", { gang });
    this->place();
    BOOST_TEST(this->tables.unsavedJobs.empty());
}

/// Guards against a long-running task that starts in a quarantine while it waits for a worker near its data.
BOOST_AUTO_TEST_CASE(aLongRunningTaskThatWaitsForItsRackStartsInNoQuarantine)
{
    this->addWorker("near").info.labels = { "rack-7" };
    this->addWorker("far");
    WorkerRow& bad = this->addWorker("bad");
    bad.quarantinedUntil = Deadline::after(this->now, Seconds(4));
    StepSpec filler = step(8, 1000);
    filler.requiredLabel = "rack-7";
    this->addJob("f", { filler });
    this->place();
    StepSpec local = step(1, 1000);
    local.preferredRack = "rack-7";
    local.longRunning = true;
    this->addJob("j", { local });
    PlacementSystem placement(this->tables, 3);
    placement.place(this->now, this->unixMs);
    BOOST_TEST(!bad.attempts.contains(task("j", 0, 0)));
}

/// If one member could not be started, the others would wait for it until they time out.
BOOST_AUTO_TEST_CASE(theRemainingMembersOfAGangAreStopped)
{
    WorkerRow& worker = this->addWorker("w1");
    StepSpec gang = step(3, 1000);
    gang.gang = true;
    JobRow& job = this->addJob("j", { gang });
    this->placeAndRun();
    this->tables.releaseAttempt(worker, task("j", 0, 1), ReleaseReason::EndReported, this->now);
    BOOST_TEST(this->place().empty());
    for (const auto& [name, attempt] : worker.attempts)
        BOOST_TEST((attempt.phase == AttemptPhase::Stopping));
    std::uint32_t run = worker.attempts.begin()->second.run;
    this->end(task("j", 0, 0), EndKind::Stopped);
    this->end(task("j", 0, 2), EndKind::Stopped);
    auto again = this->place();
    BOOST_REQUIRE(again.size() == 3U);
    BOOST_TEST(again.front().run > run);
    BOOST_TEST((job.state == JobState::Running));
}

BOOST_AUTO_TEST_CASE(aGangIsPlacedOnOneRackIfOneHasTheCapacity)
{
    auto addTo = [this](const char* id, const char* rack) { this->addWorker(id, "north", 2000).info.rack = rack; };
    addTo("w1", "rack-1");
    addTo("w2", "rack-2");
    addTo("w3", "rack-2");
    StepSpec gang = step(4, 1000);
    gang.gang = true;
    gang.sameRack = true;
    this->addJob("j", { gang });
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 4U);
    for (const auto& order : orders)
        BOOST_TEST((order.worker != WorkerId("w1")));
    this->addJob("wider", { gang });
    BOOST_TEST(this->place().empty());
    addTo("w4", "rack-3");
    BOOST_TEST(this->place().size() == 4U);
}

BOOST_AUTO_TEST_CASE(theEndOfOneMemberFinishesTheWholeGang)
{
    this->addWorker("w1");
    StepSpec gang = step(3, 1000);
    gang.gang = true;
    JobRow& job = this->addJob("j", { gang });
    this->placeAndRun();
    this->end(task("j", 0, 1), EndKind::Done);
    BOOST_TEST((job.state == JobState::Completed));
}

/// A queue asks for several times the capacity of its pool, so that some jobs can no longer be on time.
/// Guards against a start order that is repeated for a job that has ended: a member of a gang did not answer when
/// another one ended.
BOOST_AUTO_TEST_CASE(anUnansweredMemberIsStoppedAndOutlivesItsJobAsAnOrphan)
{
    WorkerRow& cutOff = this->addWorker("cut-off");
    WorkerRow& sound = this->addWorker("sound");
    StepSpec gang = step(2, 1000);
    gang.gang = true;
    gang.perWorkerLimit = 1;
    this->addJob("j", { gang });
    this->placeAndRun();
    BOOST_REQUIRE((cutOff.attempts.size() == 1U && sound.attempts.size() == 1U));
    Attempt& unanswered = cutOff.attempts.begin()->second;
    unanswered.phase = AttemptPhase::Ordered;
    unanswered.isAnswered = false;
    this->end(sound.attempts.begin()->first, EndKind::Done);
    BOOST_TEST((this->tables.jobs.at(JobId("j")).state == JobState::Completed));
    BOOST_TEST((unanswered.phase == AttemptPhase::Stopping));
    this->tables.removeJob(JobId("j"));
    BOOST_TEST(cutOff.attempts.empty());
    BOOST_TEST(cutOff.orphans.size() == 1U);
    BOOST_TEST(cutOff.occupied.cpuMillis == 1000);
    this->tables.clearWorker(cutOff, ReleaseReason::LeaseExpired, this->now);
    BOOST_TEST(this->tables.usage[TeamId("bakers")].cpuMillis == 0);
}

BOOST_AUTO_TEST_CASE(jobsThatCanStillBeOnTimeArePlacedBeforeLateJobs)
{
    this->addWorker("w1", "north", 1000);
    this->addJob("early", { step(1, 1000) });
    this->advance(Seconds(10));
    this->addJob("fresh", { step(1, 1000) });
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().task.job.string() == "fresh");
}

BOOST_AUTO_TEST_CASE(aLongRunningTaskIsPlacedAgainInAFullPool)
{
    this->addWorker("w1", "north", 2000);
    StepSpec longRunningStep = step(1, 1000);
    longRunningStep.longRunning = true;
    this->addJob("long-running", { longRunningStep });
    this->placeAndRun();
    this->addJob("quick", { step(5, 1000) });
    this->placeAndRun();
    this->end(task("long-running", 0, 0), EndKind::Failed);
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().task.job.string() == "long-running");
}

BOOST_AUTO_TEST_CASE(queuesWithALowerPriorityNumberArePlacedFirst)
{
    this->addWorker("w1", "north", 1000);
    this->addJob("a", { step(1, 1000) }, "careful");
    this->addJob("b", { step(1, 1000) }, "quick");
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().task.job.string() == "b");
}

BOOST_AUTO_TEST_CASE(bestEffortTasksOccupyNoProcessorTimeAndAvoidLatencySensitiveTasks)
{
    WorkerRow& first = this->addWorker("first", "north", 1000);
    this->addWorker("second", "north", 1000);
    StepSpec latencySensitive = step(1, 1000);
    latencySensitive.longRunning = true;
    latencySensitive.tailTarget = Milliseconds(50);
    this->addJob("latency-sensitive", { latencySensitive });
    this->placeAndRun();
    const WorkerId host = this->tables.findTask(task("latency-sensitive", 0, 0))->worker;
    StepSpec bestEffortStep = step(2, 4000);
    bestEffortStep.bestEffort = true;
    this->addJob("best-effort", { bestEffortStep });
    for (const auto& order : this->place())
        BOOST_TEST((order.worker != host));
    BOOST_TEST(first.occupied.cpuMillis <= 1000);
}

BOOST_AUTO_TEST_CASE(scheduledOccurrencesDoNotStartBeforeTheirDueTime)
{
    this->addWorker("w1");
    JobRecord record;
    record.id = JobId("j");
    record.queue = QueueId("quick");
    record.spec.steps = { step(1, 1000) };
    record.spec.occurrences = 2;
    record.spec.firstDueUnixMs = this->unixMs + 1000;
    record.spec.intervalMs = 1000;
    this->tables.addJob(record, {});
    BOOST_TEST(this->place().empty());
    this->advance(Milliseconds(1000));
    BOOST_TEST(this->place().size() == 1U);
    this->advance(Milliseconds(1000));
    BOOST_TEST(this->place().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
