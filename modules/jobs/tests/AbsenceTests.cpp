#include "JobTablesFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

/// A job of one long-running task, and a worker with room for it.
struct AbsenceFixture : JobTablesFixture {
    AbsenceFixture()
    {
        this->policies->version = 1;
        this->addWorker("n1");
        this->addLasting("web", step(1, 1000));
    }

    JobRow& addLasting(const char* id, StepSpec spec, const char* queue = "quick")
    {
        spec.longRunning = true;
        return this->addJob(id, { spec }, queue);
    }

    WorkerRow& worker() { return this->tables.workers.at(WorkerId("n1")); }
    JobRow& job() { return this->tables.jobs.at(JobId("web")); }
    StepSpec& spec() { return this->job().record.spec.steps.front(); }
    Attempt& attempt() { return this->worker().attempts.at(task("web", 0, 0)); }
    std::vector<TaskAbsence> check() { return this->monitor.check(this->now, this->unixMs); }

    /// The absence of the only absent task after the tolerance.
    TaskAbsence absence()
    {
        this->check();
        this->advance(AbsenceMonitor::tolerance + Milliseconds(1));
        auto absences = this->check();
        BOOST_REQUIRE(absences.size() == 1U);
        return absences.front();
    }

    /// The reason of the only absent task after the tolerance, while the worker goes on reporting the other ones.
    std::string reasonBesideReports(const WorkerReport& report)
    {
        this->check();
        this->advance(AbsenceMonitor::tolerance);
        this->report(this->worker(), report);
        auto absences = this->check();
        BOOST_REQUIRE(absences.size() == 1U);
        return std::string(nameOf(absences.front().reason));
    }

    std::string reason() { return std::string(nameOf(this->absence().reason)); }

    AbsenceMonitor monitor { this->tables };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Absences, AbsenceFixture)

BOOST_AUTO_TEST_CASE(aTaskAtWorkIsNotAbsent)
{
    this->placeAndRun();
    for (int second = 0; second < 10; ++second) {
        this->report(this->worker(), this->fullReport(this->worker()));
        BOOST_TEST(this->check().empty());
        this->advance(Milliseconds(1000));
    }
}

BOOST_AUTO_TEST_CASE(aTaskIsReportedOnlyAfterTheTolerance)
{
    BOOST_TEST(this->check().empty());
    Instant since = this->now;
    this->advance(AbsenceMonitor::tolerance);
    BOOST_TEST(this->check().empty());
    this->advance(Milliseconds(1));
    auto absences = this->check();
    BOOST_REQUIRE(absences.size() == 1U);
    BOOST_TEST((absences.front().since == since));
    BOOST_TEST((absences.front().task == task("web", 0, 0)));
    BOOST_TEST(absences.front().worker.string() == "n1");
    BOOST_TEST(nameOf(absences.front().reason) == "not_placed");
}

BOOST_AUTO_TEST_CASE(aTaskThatWasAtWorkInBetweenIsAbsentAnew)
{
    this->check();
    this->advance(Milliseconds(2000));
    this->placeAndRun();
    this->check();
    this->end(task("web", 0, 0), EndKind::Failed);
    this->check();
    this->advance(Milliseconds(2000));
    BOOST_TEST(this->check().empty());
}

BOOST_AUTO_TEST_CASE(onlyTasksOfOpenLongRunningJobsWhoseTurnHasComeAreWatched)
{
    this->tables.endJob(this->job(), JobState::Cancelled);
    this->addJob("batch", { step(1, 1000) });
    StepSpec second = step(1, 1000);
    second.longRunning = true;
    second.after = { 0 };
    this->addJob("dependent", { step(1, 1000), second });
    this->check();
    this->advance(AbsenceMonitor::tolerance * 2);
    BOOST_TEST(this->check().empty());
}

BOOST_AUTO_TEST_CASE(aQueueWithoutPolicy)
{
    this->policies->queues.clear();
    BOOST_TEST(this->reason() == "no_queue_policy");
}

BOOST_AUTO_TEST_CASE(aJobThatIsSetAside)
{
    this->tables.setAsideUntil[JobId("web")] = Deadline::after(this->now, Seconds(30));
    BOOST_TEST(this->reason() == "job_set_aside");
}

BOOST_AUTO_TEST_CASE(aTeamAtItsMaximum)
{
    this->addLasting("other", step(1, 500));
    this->limitTeam("bakers", { 500, 0, 0 });
    WorkerRow& worker = this->worker();
    this->tables.beginAttempt(
        worker, this->tables.jobs.at(JobId("other")), task("other", 0, 0), 1, AttemptPhase::Running, this->now);
    WorkerReport report;
    report.running.push_back({ task("other", 0, 0), 1, {}, 100, 0 });
    BOOST_TEST(this->reasonBesideReports(report) == "team_at_maximum");
}

/// A task that is larger than its team's maximum waits for another reason.
BOOST_AUTO_TEST_CASE(aTeamBelowItsMaximum)
{
    this->limitTeam("bakers", { 500, 0, 0 });
    BOOST_TEST(this->reason() != "team_at_maximum");
}

BOOST_AUTO_TEST_CASE(aGangOfWhichAMemberStillRuns)
{
    this->spec().gang = true;
    this->job().occurrences.front().steps.front().tasks.resize(2);
    this->spec().taskCount = 2;
    this->placeAndRun();
    this->end(task("web", 0, 1), EndKind::GangBroken);
    BOOST_TEST(this->reasonBesideReports(this->fullReport(this->worker())) == "gang_incomplete");
}

BOOST_AUTO_TEST_CASE(aLabelThatNoWorkerHas)
{
    this->spec().requiredLabel = "gpu";
    BOOST_TEST(this->reason() == "no_worker");
}

BOOST_AUTO_TEST_CASE(aFullPool)
{
    this->worker().occupied = { 7500, 0, 0 };
    BOOST_TEST(this->reason() == "no_room");
}

BOOST_AUTO_TEST_CASE(aLimitForEachWorker)
{
    this->spec().perWorkerLimit = 1;
    this->spec().taskCount = 2;
    this->job().occurrences.front().steps.front().tasks.resize(2);
    this->placeAndRun();
    BOOST_TEST(this->reasonBesideReports(this->fullReport(this->worker())) == "per_worker_limit");
}

BOOST_AUTO_TEST_CASE(theWorkerThatComesClosestGivesTheReason)
{
    this->addWorker("n2").isListed = false;
    this->addWorker("n3").isOnRoster = false;
    this->worker().occupied = { 8000, 0, 0 };
    TaskAbsence absence = this->absence();
    BOOST_TEST(nameOf(absence.reason) == "worker_not_on_roster");
    BOOST_TEST(absence.worker.string() == "n3");
}

BOOST_AUTO_TEST_CASE(aWorkerThatTheDirectoryDoesNotList)
{
    this->worker().isListed = false;
    BOOST_TEST(this->reason() == "worker_not_listed");
}

BOOST_AUTO_TEST_CASE(aWorkerThatHasNotBeenReached)
{
    this->worker().isReached = false;
    BOOST_TEST(this->reason() == "worker_not_reached");
}

BOOST_AUTO_TEST_CASE(aWorkerThatDoesNotAnswer)
{
    this->worker().isSuspect = true;
    BOOST_TEST(this->reason() == "worker_unresponsive");
}

BOOST_AUTO_TEST_CASE(aWorkerThatIsDrained)
{
    this->worker().isDrainOrdered = true;
    BOOST_TEST(this->reason() == "worker_leaving");
}

BOOST_AUTO_TEST_CASE(aWorkerInQuarantine)
{
    this->worker().quarantinedUntil = Deadline::after(this->now, Seconds(30));
    BOOST_TEST(this->reason() == "worker_quarantined");
}

BOOST_AUTO_TEST_CASE(aQueueThatNeedsATicket)
{
    this->policies->queues.at(QueueId("quick")).advice
        = AdvicePolicy { Milliseconds(5), Milliseconds(1), Milliseconds(3000) };
    BOOST_TEST(this->reason() == "no_ticket");
}

BOOST_AUTO_TEST_CASE(anAttemptThatIsNotStored)
{
    this->place();
    BOOST_TEST(this->reason() == "attempt_not_stored");
}

BOOST_AUTO_TEST_CASE(aStartOrderWithoutAnswer)
{
    this->place();
    this->attempt().phase = AttemptPhase::Unanswered;
    BOOST_TEST(this->reason() == "start_unanswered");
}

BOOST_AUTO_TEST_CASE(anAttemptInDoubt)
{
    this->place();
    this->attempt().phase = AttemptPhase::Ordered;
    this->tables.restartWorker(this->worker(), this->now);
    this->worker().isReached = true;
    BOOST_TEST(this->reason() == "attempt_in_doubt");
}

BOOST_AUTO_TEST_CASE(anAttemptThatIsBeingStopped)
{
    this->placeAndRun();
    this->attempt().phase = AttemptPhase::Stopping;
    BOOST_TEST(this->reason() == "attempt_stopping");
}

BOOST_AUTO_TEST_CASE(aRunningAttemptOfAWorkerThatDoesNotAnswer)
{
    this->placeAndRun();
    Instant confirmedAt = this->now;
    this->worker().isSuspect = true;
    TaskAbsence absence = this->absence();
    BOOST_TEST(nameOf(absence.reason) == "worker_unresponsive");
    BOOST_TEST((absence.since == confirmedAt));
}

BOOST_AUTO_TEST_CASE(anAttemptThatReportsNoLongerList)
{
    this->placeAndRun();
    BOOST_TEST(this->reason() == "attempt_not_listed");
}

BOOST_AUTO_TEST_CASE(anAttemptAtNoSpeed)
{
    this->placeAndRun();
    auto report = this->fullReport(this->worker());
    report.running.front().speedPercent = 0;
    this->report(this->worker(), report);
    BOOST_TEST(this->reasonBesideReports(report) == "throttled");
}

/// Guards against a task of interest that is not named because a full pool keeps many others waiting.
BOOST_AUTO_TEST_CASE(rareReasonsComeFirst)
{
    this->tables.endJob(this->job(), JobState::Cancelled);
    this->addLasting("wide", step(5, 9000));
    this->addLasting("alone", step(1, 1000));
    this->check();
    this->advance(AbsenceMonitor::tolerance * 2);
    auto absences = this->check();
    BOOST_REQUIRE(absences.size() == 6U);
    BOOST_TEST(absences.front().task.job.string() == "alone");
}

BOOST_AUTO_TEST_SUITE_END()
