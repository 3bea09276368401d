#include "JobTablesFixture.h"

#include <jobs/model/TeamMaximum.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

struct MaximumFixture : JobTablesFixture {
    MaximumFixture()
    {
        this->policies->version = 1;
        for (int number = 0; number < 8; ++number)
            this->addWorker("n" + std::to_string(number), "north", 64'000);
    }

    /// What the team has running, or planned.
    ResourceAmount use(const char* team = "bakers") { return this->tables.usage[TeamId(team)]; }

    /// Ends the task as its worker would report it.
    void finish(const TaskName& name)
    {
        for (auto& [id, worker] : this->tables.workers) {
            if (!worker.attempts.contains(name))
                continue;
            this->tables.finishTask(this->tables.jobs.at(name.job), name);
            this->tables.releaseAttempt(worker, name, ReleaseReason::EndReported, this->now);
        }
    }

    static StepSpec gang(std::uint32_t tasks, std::int64_t cpuMillis)
    {
        StepSpec made = step(tasks, cpuMillis);
        made.gang = true;
        return made;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Maxima, MaximumFixture)

/// Guards against an accepted job that never starts: the operators lower the team's maximum, and what the team has
/// running leaves less than the size of the task, though it is under half of the maximum.
BOOST_AUTO_TEST_CASE(aTaskStartsWhileItsTeamIsBelowALoweredMaximum)
{
    this->limitTeam("bakers", { 20'000, 0, 0 });
    StepSpec lasting = step(1, 3500);
    lasting.longRunning = true;
    this->addJob("lasting", { lasting });
    BOOST_REQUIRE(this->place().size() == 1U);
    this->limitTeam("bakers", { 8000, 0, 0 });
    this->addJob("j", { step(1, 6000) });
    BOOST_TEST(this->place().size() == 1U);
}

/// Guards against the same for a task that is larger than the maximum.
BOOST_AUTO_TEST_CASE(aTaskThatIsLargerThanTheMaximumStarts)
{
    this->limitTeam("bakers", { 1000, 50, 0 });
    this->addJob("j", { step(2, 6000) });
    BOOST_TEST(this->place().size() == 1U);
    this->finish(task("j", 0, 0));
    BOOST_TEST(this->place().size() == 1U);
}

/// The rule, for each resource and every use, against the two bounds of the platform: a start is asked for while the
/// team uses less than half of its maximum, and forbidden if it brings the team above the maximum and one task more.
BOOST_AUTO_TEST_CASE(startsKeepBothBoundsInEachResource)
{
    for (std::int64_t ResourceAmount::*resource :
        { &ResourceAmount::cpuMillis, &ResourceAmount::memoryMegabytes, &ResourceAmount::accelerators }) {
        for (std::int64_t maximum : { 0, 1, 2, 7, 10 }) {
            for (std::int64_t used = 0; used <= 25; ++used) {
                for (std::int64_t demand = 0; demand <= 15; ++demand) {
                    ResourceAmount limit, use;
                    StepSpec spec;
                    limit.*resource = maximum;
                    use.*resource = used;
                    spec.demand.*resource = demand;
                    bool isPermitted = TeamMaximum(limit).permits(spec, use);
                    bool isAskedFor = !maximum || 2 * used < maximum;
                    bool isForbidden = maximum && demand && used + demand > maximum + demand;
                    BOOST_TEST((isPermitted || !isAskedFor));
                    BOOST_TEST((!isPermitted || !isForbidden));
                }
            }
        }
    }
}

/// Guards against a tick that starts more than one task above the maximum: attempts that are only planned count.
BOOST_AUTO_TEST_CASE(tasksOfOneTickExceedTheMaximumByLessThanOneTask)
{
    this->limitTeam("bakers", { 8000, 0, 0 });
    this->addJob("wide", { step(6, 3000) });
    this->addJob("other", { step(6, 3000) });
    BOOST_TEST(this->place().size() == 3U);
    BOOST_TEST(this->use().cpuMillis == 9000);
    BOOST_TEST(this->place().empty());
}

/// An attempt that is being stopped, and one whose job was removed, go on counting until their ends are reported.
BOOST_AUTO_TEST_CASE(attemptsThatAreBeingStoppedCount)
{
    this->limitTeam("bakers", { 8000, 0, 0 });
    JobRow& job = this->addJob("cancelled", { step(2, 4000) });
    BOOST_REQUIRE(this->place().size() == 2U);
    for (auto& [id, worker] : this->tables.workers) {
        for (auto& [name, attempt] : worker.attempts)
            attempt.phase = AttemptPhase::Running;
    }
    this->tables.endJob(job, JobState::Cancelled);
    this->addJob("j", { step(1, 1000) });
    BOOST_TEST(this->place().empty());
    this->tables.removeJob(JobId("cancelled"));
    BOOST_TEST(this->place().empty());
}

/// Guards against a large task that small ones of its team keep waiting for good, or the other way round.
BOOST_AUTO_TEST_CASE(tasksOfDifferentSizesStartInTheirOrder)
{
    this->limitTeam("bakers", { 8000, 0, 0 });
    this->addJob("a-small", { step(8, 1000) });
    BOOST_REQUIRE(this->place().size() == 8U);
    this->advance(Milliseconds(10));
    this->addJob("b-large", { step(1, 6000) });
    this->advance(Milliseconds(10));
    this->addJob("c-small", { step(8, 1000) });
    BOOST_REQUIRE(this->place().empty());
    this->finish(task("a-small", 0, 0));
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().task.job.string() == "b-large");
    this->finish(task("b-large", 0, 0));
    BOOST_TEST(this->place().size() == 1U);
}

/// A task that needs nothing of a resource starts while its team exceeds the maximum in it.
BOOST_AUTO_TEST_CASE(aResourceThatATaskDoesNotNeedKeepsItNotBack)
{
    for (auto& [id, worker] : this->tables.workers)
        worker.info.capacity.accelerators = 8;
    StepSpec accelerated = step(1, 1000);
    accelerated.demand.accelerators = 4;
    accelerated.longRunning = true;
    this->addJob("lasting", { accelerated });
    BOOST_REQUIRE(this->place().size() == 1U);
    this->limitTeam("bakers", { 8000, 0, 2 });
    this->addJob("plain", { step(1, 1000) });
    this->addJob("other", { accelerated });
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().task.job.string() == "plain");
}

/// Each member of a gang is a start, so a gang starts only if the last of them may.
BOOST_AUTO_TEST_CASE(aGangStartsWholeOrNotAtAll)
{
    this->limitTeam("bakers", { 8000, 0, 0 });
    this->addJob("larger", { gang(4, 3000) });
    BOOST_TEST(this->place().empty());
    BOOST_TEST(this->use().cpuMillis == 0);
    this->addJob("fitting", { gang(3, 3000) });
    BOOST_TEST(this->place().size() == 3U);
    BOOST_TEST(this->use().cpuMillis == 9000);
}

/// What can never start is known from its team's maximum alone.
BOOST_AUTO_TEST_CASE(aGangThatCanNeverStartIsKnown)
{
    TeamMaximum maximum({ 8000, 0, 0 });
    BOOST_TEST(!maximum.permits(gang(4, 3000), {}));
    BOOST_TEST(maximum.permits(gang(3, 3000), {}));
    BOOST_TEST(maximum.permits(gang(1, 30'000), {}));
    BOOST_TEST(maximum.permits(step(40, 30'000), {}));
    BOOST_TEST(TeamMaximum({}).permits(gang(400, 3000), {}));
}

BOOST_AUTO_TEST_SUITE_END()
