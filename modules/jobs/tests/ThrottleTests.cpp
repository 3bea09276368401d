#include "BoardFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

/// One worker with a serving task and a filling one beside it.
struct PacingFixture : BoardFixture {
    PacingFixture()
    {
        this->addWorker("w1");
        StepSpec serving = step(1, 1000);
        serving.lasting = true;
        serving.tailTarget = Milliseconds(100);
        StepSpec filling = step(1, 1000);
        filling.lasting = true;
        filling.fills = true;
        this->addJob("serving", { serving });
        this->addJob("filling", { filling });
        this->placeAndRun();
    }

    /// The worker tells of a tail, and carries out the pace that follows from it.
    int paceAfter(std::int64_t tailMs)
    {
        WorkerRow& worker = this->board.workers.at(WorkerId("w1"));
        Attempt& filler = worker.attempts.at(task("filling", 0, 0));
        worker.attempts.at(task("serving", 0, 0)).load = tailMs;
        this->advance(PacingSystem::settlesWithin);
        PacingSystem(this->board).advance(this->now);
        filler.pacePercent = filler.wantedPace;
        return filler.wantedPace;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Pacing, PacingFixture)

/// The load: a filler that disturbs a serving task, then less, then not at all.
BOOST_AUTO_TEST_CASE(fillersStopWhileAServingTaskIsOverItsTargetAndComeBackInSteps)
{
    BOOST_TEST(this->paceAfter(50) == 100);
    BOOST_TEST(this->paceAfter(90) == 75);
    BOOST_TEST(this->paceAfter(101) == 0);
    BOOST_TEST(this->paceAfter(70) == 0);
    BOOST_TEST(this->paceAfter(50) == 25);
    BOOST_TEST(this->paceAfter(50) == 50);
    BOOST_TEST(this->paceAfter(120) == 0);
}

BOOST_AUTO_TEST_CASE(aTaskOverItsTargetDoesNotWaitForTheLastChangeToSettle)
{
    WorkerRow& worker = this->board.workers.at(WorkerId("w1"));
    BOOST_TEST(this->paceAfter(90) == 75);
    worker.attempts.at(task("serving", 0, 0)).load = 130;
    PacingSystem(this->board).advance(this->now);
    BOOST_TEST(worker.attempts.at(task("filling", 0, 0)).wantedPace == 0);
}

BOOST_AUTO_TEST_CASE(fillersWithoutServingNeighboursWorkAtFullSpeed)
{
    this->addWorker("w2");
    BOOST_TEST(this->paceAfter(130) == 0);
    this->end(task("serving", 0, 0), EndKind::Stopped);
    this->board.endJob(this->board.jobs.at(JobId("serving")), JobState::Cancelled);
    WorkerRow& worker = this->board.workers.at(WorkerId("w1"));
    for (int round = 0; round < 4; ++round) {
        this->advance(PacingSystem::settlesWithin);
        PacingSystem(this->board).advance(this->now);
    }
    BOOST_TEST(worker.attempts.at(task("filling", 0, 0)).wantedPace == 100);
}

/// A new holder goes on from the pace that it finds.
BOOST_AUTO_TEST_CASE(anAdoptedFillerKeepsItsPace)
{
    WorkerRow& worker = this->board.workers.at(WorkerId("w1"));
    auto report = this->faithfulReport(worker);
    this->board.releaseAttempt(worker, task("filling", 0, 0));
    for (auto& running : report.running)
        running.pacePercent = running.task.job == JobId("filling") ? 25 : 100;
    this->report(worker, report);
    BOOST_TEST(worker.attempts.at(task("filling", 0, 0)).wantedPace == 25);
}

BOOST_AUTO_TEST_SUITE_END()
