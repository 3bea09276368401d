#include "BoardFixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Greengage;

BOOST_FIXTURE_TEST_SUITE(Placing, BoardFixture)

BOOST_AUTO_TEST_CASE(nothingIsPlacedBeyondAWorkersRoom)
{
    WorkerRow& worker = this->addWorker("w1", "north", 2500);
    this->addJob("j", { step(5, 1000) });
    BOOST_TEST(this->place().size() == 2U);
    BOOST_TEST(worker.occupied.cpuMillis == 2000);
}

BOOST_AUTO_TEST_CASE(whatIsBeingStoppedStillTakesRoom)
{
    WorkerRow& worker = this->addWorker("w1", "north", 1000);
    JobRow& job = this->addJob("j", { step(1, 1000) });
    this->placeAndRun();
    this->board.endJob(job, JobState::Cancelled);
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
    BOOST_TEST(this->board.usage[TeamId("bakers")].cpuMillis == 3000);
}

BOOST_AUTO_TEST_CASE(tasksOfAStepKeepToTheirLimitPerWorker)
{
    this->addWorker("w1");
    this->addWorker("w2");
    StepSpec apart = step(4, 100);
    apart.perWorkerLimit = 1;
    this->addJob("j", { apart });
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
    StepSpec special = step(1, 100);
    special.requiredLabel = "gpu-kind";
    this->addJob("j", { special });
    BOOST_TEST(this->place().empty());
    this->addWorker("special").facts.labels = { "gpu-kind", "rack-2" };
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().worker.string() == "special");
}

BOOST_AUTO_TEST_CASE(nothingIsPlacedOnWorkersThatLeaveOrAreInDoubt)
{
    this->addWorker("draining").facts.draining = true;
    this->addWorker("suspect").isSuspect = true;
    this->addWorker("unlisted").isListed = false;
    this->addWorker("unreached").isReached = false;
    this->addWorker("unrecorded").isRecorded = false;
    this->addWorker("evacuating").isEvacuating = true;
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

/// The load: one team sends far more than the others while the fleet is full.
BOOST_AUTO_TEST_CASE(aTeamOverItsShareComesAfterTheOthers)
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

BOOST_AUTO_TEST_CASE(aLargerWeightIsALargerShare)
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

/// The load: more tasks want one rack than it holds.
BOOST_AUTO_TEST_CASE(aTaskWaitsForItsRackWhileItWouldBeLateElsewhere)
{
    this->addWorker("near", "north", 1000).facts.labels = { "a", "rack-7" };
    this->addWorker("far", "north", 8000);
    StepSpec bound = step(2, 1000, Milliseconds(1000));
    bound.preferredRack = "rack-7";
    this->addJob("j", { bound });
    // Twice its second of work and 600 ms more: elsewhere, 3 s would be too long.
    PlacementSystem placement(this->board, 3);
    auto orders = placement.place(this->now, this->unixMs);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders.front().worker == WorkerId("near")));
    this->advance(PlacementSystem::longestRackWait);
    BOOST_TEST(placement.place(this->now, this->unixMs).size() == 1U);
    // A short task is on time elsewhere, too.
    StepSpec quick = step(1, 1000, Milliseconds(100));
    quick.preferredRack = "rack-7";
    this->addJob("k", { quick });
    BOOST_TEST(placement.place(this->now, this->unixMs).size() == 1U);
}

BOOST_AUTO_TEST_CASE(aGangStartsWholeOrNotAtAll)
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

BOOST_AUTO_TEST_CASE(aGangThatFindsNoRoomHasNotBegunAndIsNotStored)
{
    this->addWorker("w1", "north", 2000);
    StepSpec gang = step(3, 1000);
    gang.gang = true;
    JobRow& job = this->addJob("j", { gang });
    this->place();
    BOOST_TEST(!job.hasStarted);
    BOOST_TEST((job.state == JobState::Waiting));
    BOOST_TEST(this->board.unrecorded.empty());
}

/// A member that could not be started leaves the others waiting for it until they give up.
BOOST_AUTO_TEST_CASE(whatIsLeftOfAGangIsStopped)
{
    WorkerRow& worker = this->addWorker("w1");
    StepSpec gang = step(3, 1000);
    gang.gang = true;
    JobRow& job = this->addJob("j", { gang });
    this->placeAndRun();
    this->board.releaseAttempt(worker, task("j", 0, 1));
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

BOOST_AUTO_TEST_CASE(aGangKeepsToOneRackIfOneHasTheRoom)
{
    auto addTo = [this](const char* id, const char* rack) { this->addWorker(id, "north", 2000).facts.rack = rack; };
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

BOOST_AUTO_TEST_CASE(oneEndOfAGangFinishesAllOfIt)
{
    this->addWorker("w1");
    StepSpec gang = step(3, 1000);
    gang.gang = true;
    JobRow& job = this->addJob("j", { gang });
    this->placeAndRun();
    this->end(task("j", 0, 1), EndKind::Done);
    BOOST_TEST((job.state == JobState::Completed));
}

/// The load: a queue asks for several times what its pool holds, so that some jobs can no longer be on time.
BOOST_AUTO_TEST_CASE(jobsThatCanStillBeOnTimeGoBeforeThoseThatCannot)
{
    this->addWorker("w1", "north", 1000);
    this->addJob("early", { step(1, 1000) });
    this->advance(Seconds(10));
    this->addJob("fresh", { step(1, 1000) });
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().task.job.string() == "fresh");
}

BOOST_AUTO_TEST_CASE(aLastingTaskComesBackHoweverFullThePoolIs)
{
    this->addWorker("w1", "north", 2000);
    StepSpec lasting = step(1, 1000);
    lasting.lasting = true;
    this->addJob("lasting", { lasting });
    this->placeAndRun();
    this->addJob("quick", { step(5, 1000) });
    this->placeAndRun();
    this->end(task("lasting", 0, 0), EndKind::Failed);
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().task.job.string() == "lasting");
}

BOOST_AUTO_TEST_CASE(urgentQueuesGoFirst)
{
    this->addWorker("w1", "north", 1000);
    this->addJob("a", { step(1, 1000) }, "careful");
    this->addJob("b", { step(1, 1000) }, "quick");
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().task.job.string() == "b");
}

BOOST_AUTO_TEST_CASE(fillingTasksTakeNoRoomAndKeepAwayFromServingOnes)
{
    WorkerRow& serving = this->addWorker("serving", "north", 1000);
    this->addWorker("idle", "north", 1000);
    StepSpec serve = step(1, 1000);
    serve.lasting = true;
    serve.tailTarget = Milliseconds(50);
    this->addJob("serve", { serve });
    this->placeAndRun();
    const WorkerId host = this->board.findTask(task("serve", 0, 0))->worker;
    StepSpec fill = step(2, 4000);
    fill.fills = true;
    this->addJob("fill", { fill });
    for (const auto& order : this->place())
        BOOST_TEST((order.worker != host));
    BOOST_TEST(serving.occupied.cpuMillis <= 1000);
}

BOOST_AUTO_TEST_CASE(scheduledWorkDoesNotStartBeforeItsTime)
{
    this->addWorker("w1");
    JobRecord record;
    record.id = JobId("j");
    record.queue = QueueId("quick");
    record.spec.steps = { step(1, 1000) };
    record.spec.occurrences = 2;
    record.spec.firstDueUnixMs = this->unixMs + 1000;
    record.spec.intervalMs = 1000;
    this->board.addJob(record, {});
    BOOST_TEST(this->place().empty());
    this->advance(Milliseconds(1000));
    BOOST_TEST(this->place().size() == 1U);
    this->advance(Milliseconds(1000));
    BOOST_TEST(this->place().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
