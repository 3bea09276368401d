#include "JobTablesFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>

using namespace Greengage;

namespace {

/// Plays a pool in steps: plans are stored after a while, tasks run and fail, and workers report.
struct PoolFixture : JobTablesFixture {
    static constexpr Milliseconds stepLength { 50 };
    static constexpr Milliseconds storeDelay { 100 };

    JobRow& addLasting(const std::string& id, std::uint32_t tasks = 1)
    {
        StepSpec spec = step(tasks, 1000);
        spec.longRunning = true;
        return this->addJob(id, { spec });
    }

    /// Sends the start orders of stored plans to the workers that still accept tasks.
    void sendStored()
    {
        for (auto& [id, worker] : this->tables.workers) {
            std::vector<TaskName> refused;
            for (auto& [task, attempt] : worker.attempts) {
                if (attempt.phase != AttemptPhase::Planned || this->now - attempt.orderedAt < storeDelay)
                    continue;
                attempt.phase = AttemptPhase::Running;
                attempt.isAnswered = true;
                attempt.isListed = true;
                attempt.orderedAt = this->now;
                if (!PlacementSystem::mayStart(worker, attempt.isLongRunning, this->now))
                    refused.push_back(task);
            }
            for (const auto& task : refused)
                this->tables.releaseAttempt(worker, task, ReleaseReason::EndReported, this->now);
        }
    }

    /// Has each worker report its running attempts, and those that have ended as `endOf` says.
    void reportAll(const std::function<std::optional<EndKind>(const WorkerRow&, const Attempt&)>& endOf)
    {
        for (auto& [id, worker] : this->tables.workers) {
            WorkerReport report;
            std::uint64_t number = worker.appliedEnds;
            for (const auto& [task, attempt] : worker.attempts) {
                if (attempt.phase != AttemptPhase::Running)
                    continue;
                if (auto kind = endOf(worker, attempt))
                    report.ended.push_back({ ++number, task, attempt.run, *kind, {} });
                else
                    report.running.push_back({ task, attempt.run, {}, 100, 0 });
            }
            ReportSystem(this->tables).apply(worker, report, this->now, this->now);
        }
    }

    /// Plays for a while, and returns the longest time for which a long-running task was not at work.
    Milliseconds play(Milliseconds span,
        const std::function<std::optional<EndKind>(const WorkerRow&, const Attempt&)>& endOf,
        const std::function<bool(const TaskName&)>& isWatched)
    {
        std::map<TaskName, Instant> lastAtWork;
        Microseconds longest { 0 };
        Instant end = this->now + span;
        while (this->now < end) {
            this->advance(stepLength);
            this->sendStored();
            this->reportAll(endOf);
            this->place();
            for (const auto& [id, job] : this->tables.jobs) {
                for (std::uint32_t index = 0; index < job.record.spec.steps.front().taskCount; ++index) {
                    TaskName name = task(id.string(), 0, index);
                    if (!job.record.spec.steps.front().longRunning || !isWatched(name))
                        continue;
                    const TaskRow& row = *this->tables.findTask(name);
                    Instant& last = lastAtWork.try_emplace(name, this->now).first->second;
                    if (row.phase == TaskPhase::Active
                        && this->tables.workers.at(row.worker).attempts.at(name).phase == AttemptPhase::Running)
                        last = this->now;
                    longest = std::max<Microseconds>(longest, this->now - last);
                }
            }
        }
        return std::chrono::duration_cast<Milliseconds>(longest);
    }

    Microseconds age(const Attempt& attempt) const { return this->now - attempt.orderedAt; }

    /// A long-running task has to be at work again by then, if there is room for it all the while.
    static constexpr Milliseconds longestAbsence { 6000 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Quarantines, PoolFixture)

/// Guards against a pool that takes nothing, because each of its workers has had two failures at any time in its life.
BOOST_AUTO_TEST_CASE(longRunningTasksThatFailNowAndThenKeepNoOtherFromRunning)
{
    for (const char* id : { "n1", "n2", "n3" })
        this->addWorker(id);
    this->addLasting("web", 18);
    auto endOf = [this](const WorkerRow&, const Attempt& attempt) -> std::optional<EndKind> {
        Milliseconds life(7000 + 613 * attempt.task.index % 5000);
        return this->age(attempt) >= life ? std::optional(EndKind::Failed) : std::nullopt;
    };
    Milliseconds absent = this->play(Seconds(120), endOf, [](const TaskName&) { return true; });
    BOOST_TEST(absent.count() <= longestAbsence.count());
}

/// Guards against a pool that takes nothing, because a task that always fails has been on each of its workers.
BOOST_AUTO_TEST_CASE(longRunningTasksThatAlwaysFailKeepNoOtherFromRunning)
{
    for (const char* id : { "n1", "n2", "n3" })
        this->addWorker(id);
    this->addLasting("poison", 3);
    this->addLasting("web", 6);
    auto endOf = [this](const WorkerRow&, const Attempt& attempt) -> std::optional<EndKind> {
        bool isPoison = attempt.task.job == JobId("poison");
        Milliseconds life(isPoison ? 300 : 9000 + 700 * attempt.task.index);
        return this->age(attempt) >= life ? std::optional(EndKind::Failed) : std::nullopt;
    };
    Milliseconds absent
        = this->play(Seconds(120), endOf, [](const TaskName& task) { return task.job == JobId("web"); });
    BOOST_TEST(absent.count() <= longestAbsence.count());
}

/// Guards against the same if several fail every few seconds.
BOOST_AUTO_TEST_CASE(longRunningTasksThatFailSoonKeepNoOtherFromRunning)
{
    for (const char* id : { "n1", "n2" })
        this->addWorker(id);
    this->addLasting("poison", 10);
    this->addLasting("web", 4);
    auto endOf = [this](const WorkerRow&, const Attempt& attempt) -> std::optional<EndKind> {
        bool isPoison = attempt.task.job == JobId("poison");
        Milliseconds life(isPoison ? 2000 + 613 * attempt.task.index % 2900 : 9000 + 700 * attempt.task.index);
        return this->age(attempt) >= life ? std::optional(EndKind::Failed) : std::nullopt;
    };
    Milliseconds absent
        = this->play(Seconds(120), endOf, [](const TaskName& task) { return task.job == JobId("web"); });
    BOOST_TEST(absent.count() <= longestAbsence.count());
}

/// The same with jobs whose only task fails as often as its queue allows.
BOOST_AUTO_TEST_CASE(jobsThatAlwaysFailKeepNoLongRunningTaskFromRunning)
{
    for (const char* id : { "n1", "n2" })
        this->addWorker(id);
    for (int index = 0; index < 120; ++index)
        this->addJob("poison" + std::to_string(index), { step(1, 1000) });
    this->addLasting("web", 4);
    auto endOf = [this](const WorkerRow&, const Attempt& attempt) -> std::optional<EndKind> {
        Milliseconds life(attempt.isLongRunning ? 9000 + 700 * attempt.task.index : 1500);
        return this->age(attempt) >= life ? std::optional(EndKind::Failed) : std::nullopt;
    };
    Milliseconds absent
        = this->play(Seconds(120), endOf, [](const TaskName& task) { return task.job == JobId("web"); });
    BOOST_TEST(absent.count() <= longestAbsence.count());
}

/// Guards against a quarantine that each failure of a task started before it prolongs.
BOOST_AUTO_TEST_CASE(tasksThatFailOneAfterAnotherKeepNoLongRunningTaskFromRunning)
{
    WorkerRow& worker = this->addWorker("n1");
    this->addJob("poison", { step(7, 1000) });
    this->placeAndRun();
    for (std::uint32_t index = 0; index < 2; ++index)
        this->end(task("poison", 0, index), EndKind::Failed);
    BOOST_REQUIRE(!PlacementSystem::acceptsTasks(worker, this->now));
    this->addLasting("web");
    auto endOf = [this](const WorkerRow&, const Attempt& attempt) -> std::optional<EndKind> {
        Milliseconds life(1900 * attempt.task.index);
        bool hasFailed = !attempt.isLongRunning && this->age(attempt) >= life;
        return hasFailed ? std::optional(EndKind::Failed) : std::nullopt;
    };
    Milliseconds absent = this->play(Seconds(20), endOf, [](const TaskName&) { return true; });
    BOOST_TEST(absent.count() <= longestAbsence.count());
}

/// Guards against a long-running task that goes back to the worker on which it has just failed.
BOOST_AUTO_TEST_CASE(aLongRunningTaskThatFailedGoesToAnotherWorker)
{
    this->addWorker("n1", "north", 4000);
    this->addWorker("n2", "north", 8000);
    this->addLasting("web");
    this->placeAndRun();
    BOOST_TEST(this->tables.findTask(task("web", 0, 0))->worker.string() == "n1");
    this->end(task("web", 0, 0), EndKind::Failed);
    this->placeAndRun();
    BOOST_TEST(this->tables.findTask(task("web", 0, 0))->worker.string() == "n2");
}

/// Guards against a start order every few moments for a task that always fails.
BOOST_AUTO_TEST_CASE(aLongRunningTaskThatAlwaysFailsIsStartedAfterAPause)
{
    this->addWorker("n1");
    this->addWorker("n2");
    this->addLasting("web");
    std::uint32_t failures = 0;
    auto endOf = [this, &failures](const WorkerRow&, const Attempt& attempt) -> std::optional<EndKind> {
        if (this->age(attempt) < Milliseconds(200))
            return std::nullopt;
        failures += 1;
        return EndKind::Failed;
    };
    Milliseconds absent = this->play(Seconds(60), endOf, [](const TaskName&) { return true; });
    BOOST_TEST(failures <= 32U);
    BOOST_TEST(absent.count() <= 2500);
}

/// A worker on which every long-running task fails gets no more of them for a while.
BOOST_AUTO_TEST_CASE(aWorkerOnWhichAllLongRunningTasksFailIsQuarantined)
{
    WorkerRow& worker = this->addWorker("n1", "north", 4000);
    this->addWorker("n2", "north", 8000);
    this->addLasting("a");
    this->addLasting("b");
    this->placeAndRun();
    this->end(task("a", 0, 0), EndKind::Failed);
    BOOST_TEST(PlacementSystem::acceptsTasks(worker, this->now));
    this->end(task("b", 0, 0), EndKind::Failed);
    BOOST_TEST(!PlacementSystem::acceptsTasks(worker, this->now));
    this->advance(ReportSystem::quarantineDuration);
    BOOST_TEST(PlacementSystem::acceptsTasks(worker, this->now));
}

/// Guards against a long-running task that waits beside the only room there is: the worker is quarantined, and what
/// failed on it has made the room.
BOOST_AUTO_TEST_CASE(aLongRunningTaskThatNoOtherWorkerCanTakeStartsInAQuarantine)
{
    WorkerRow& worker = this->addWorker("n1", "north", 4000);
    this->addWorker("n2", "north", 500);
    worker.quarantinedUntil = Deadline::after(this->now, ReportSystem::quarantineDuration);
    this->addJob("j", { step(1, 1000) });
    this->addLasting("web");
    this->place();
    BOOST_TEST((this->tables.findTask(task("web", 0, 0))->phase == TaskPhase::Active));
    BOOST_TEST((this->tables.findTask(task("j", 0, 0))->phase == TaskPhase::Waiting));
}

/// The same if the tasks of other jobs fail there.
BOOST_AUTO_TEST_CASE(aWorkerOnWhichAllTasksFailIsQuarantinedAgainAndAgain)
{
    WorkerRow& worker = this->addWorker("n1");
    this->addJob("j", { step(8, 1000) });
    this->placeAndRun();
    for (std::uint32_t index = 0; index < 4; ++index) {
        this->end(task("j", 0, index), EndKind::Failed);
        BOOST_TEST(PlacementSystem::acceptsTasks(worker, this->now) == (index == 0U));
        this->advance(index ? ReportSystem::quarantineDuration : Milliseconds(0));
    }
}

BOOST_AUTO_TEST_SUITE_END()
