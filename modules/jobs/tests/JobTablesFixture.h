#pragma once

#include <jobs/jobs.h>

#include <memory>
#include <string>
#include <vector>

namespace Greengage {

/// Job tables with pools, queues and teams, and helpers to fill them.
struct JobTablesFixture {
    static constexpr std::int64_t startUnixMs = 1'700'000'000'000;

    JobTablesFixture()
    {
        for (const char* name : { "north", "south" })
            this->policies->pools[PoolId(name)] = { PoolId(name), false, true };
        this->policies->pools[PoolId("spare")] = { PoolId("spare"), true, true };
        this->addQueue("quick", "north", 0);
        this->addQueue("careful", "north", 1);
        this->addQueue("distant", "south", 0);
        this->tables.policies = this->policies;
    }

    void addQueue(const char* id, const char* pool, int priority)
    {
        QueuePolicy queue;
        queue.id = QueueId(id);
        queue.pool = PoolId(pool);
        queue.priority = priority;
        queue.maxAttempts = 3;
        queue.stretch = 2;
        queue.slack = Milliseconds(600);
        this->policies->queues[queue.id] = queue;
    }

    void limitTeam(const char* team, ResourceAmount maximum)
    {
        this->policies->teams[TeamId(team)] = { TeamId(team), 1, maximum };
    }

    WorkerRow& addWorker(const std::string& id, const char* pool = "north", std::int64_t cpuMillis = 8000)
    {
        WorkerRow& worker = this->tables.workers[WorkerId(id)];
        worker.info.id = WorkerId(id);
        worker.info.pool = PoolId(pool);
        worker.info.capacity = { cpuMillis, 64'000, 0 };
        worker.info.labels = { "a", "rack-1" };
        worker.info.rack = "rack-1";
        worker.isReached = true;
        worker.isOnRoster = true;
        worker.lastReport = this->now;
        return worker;
    }

    static StepSpec step(std::uint32_t tasks, std::int64_t cpuMillis, Milliseconds estimate = Milliseconds(1000))
    {
        StepSpec made;
        made.taskCount = tasks;
        made.demand = { cpuMillis, 100, 0 };
        made.estimate = estimate;
        return made;
    }

    JobRow& addJob(const std::string& id, std::vector<StepSpec> steps, const char* queue = "quick",
        const char* team = "bakers", const JobProgress& progress = {})
    {
        JobRecord record;
        record.id = JobId(id);
        record.queue = QueueId(queue);
        record.team = TeamId(team);
        record.receivedUnixMs = this->unixMs;
        record.spec.payload = "payload of " + id;
        record.spec.steps = std::move(steps);
        this->tables.addJob(std::move(record), progress);
        return this->tables.jobs.at(JobId(id));
    }

    std::vector<StartOrder> place() { return PlacementSystem(this->tables).place(this->now, this->unixMs); }

    /// Places all tasks that can be placed, and has each worker accept its order.
    std::vector<StartOrder> placeAndRun()
    {
        auto orders = this->place();
        for (const auto& order : orders) {
            Attempt& attempt = this->tables.workers.at(order.worker).attempts.at(order.task);
            attempt.phase = AttemptPhase::Running;
            this->tables.recordStart(this->tables.jobs.at(order.task.job));
            attempt.isAnswered = true;
            attempt.isAtFullSpeed = true;
            attempt.confirmedAt = this->now;
        }
        return orders;
    }

    /// Returns a report that lists every attempt that the tables have on the worker.
    WorkerReport fullReport(const WorkerRow& worker) const
    {
        WorkerReport report;
        for (const auto& [task, attempt] : worker.attempts)
            report.running.push_back({ task, attempt.run, {}, 100, 0 });
        return report;
    }

    std::vector<AttemptEvent> report(WorkerRow& worker, const WorkerReport& report)
    {
        this->advance(Milliseconds(10));
        Instant sentAt = this->now;
        this->advance(Milliseconds(10));
        return ReportSystem(this->tables).apply(worker, report, sentAt, this->now);
    }

    /// Has the worker report that a task ended.
    std::vector<AttemptEvent> end(const TaskName& task, EndKind kind, const std::string& checkpoint = {})
    {
        WorkerRow& worker = this->tables.workers.at(this->tables.findTask(task)->worker);
        auto report = this->fullReport(worker);
        std::uint32_t run = worker.attempts.at(task).run;
        std::erase_if(report.running, [&](const RunningAttempt& running) { return running.task == task; });
        report.ended.push_back({ worker.appliedEnds + 1, task, run, kind, checkpoint });
        return this->report(worker, report);
    }

    void advance(Milliseconds span)
    {
        this->now += span;
        this->unixMs += span.count();
    }

    std::shared_ptr<JobPolicies> policies = std::make_shared<JobPolicies>();
    JobTables tables;
    Instant now { Seconds(1000) };
    std::int64_t unixMs = startUnixMs;
};

inline TaskName task(const std::string& job, std::uint32_t step, std::uint32_t index)
{
    return { JobId(job), 0, step, index };
}

} // namespace Greengage
