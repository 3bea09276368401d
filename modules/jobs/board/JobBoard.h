#pragma once

#include <core/time/Instant.h>
#include <jobs/board/JobRow.h>
#include <jobs/board/WorkerRow.h>
#include <jobs/model/JobPolicies.h>
#include <jobs/model/JobProgress.h>

#include <memory>
#include <set>
#include <unordered_map>

namespace Greengage {

/// The tables of the daemon that places tasks: jobs that have not ended, workers, and the attempts that bind the two.
/// Its functions keep the tables consistent with each other; systems decide what to do.
class JobBoard {
public:
    std::unordered_map<JobId, JobRow> jobs;
    std::unordered_map<WorkerId, WorkerRow> workers;
    std::shared_ptr<const JobPolicies> policies = std::make_shared<JobPolicies>();
    /// Jobs whose stored progress is behind, or that have ended and are still stored as open.
    std::set<JobId> unrecorded;
    /// Jobs that ended and were forgotten. A listing that is answered late may still show them as open.
    std::set<JobId> forgotten;
    /// What each team has on workers.
    std::unordered_map<TeamId, Demand> usage;
    /// Attempt numbers below this one may have been used by an earlier placing daemon.
    std::uint32_t lowestRun = 1;
    /// Until then, a worker that has not been reached may still run what an earlier placing daemon started.
    Deadline inheritedLeasesOver;

    /// Adds a job. Returns false if it is there already, or has ended.
    bool addJob(JobRecord, const JobProgress&);

    /// Ends a job: nothing of it starts any more, and what runs is stopped.
    void endJob(JobRow&, JobState);

    /// Forgets a job that has ended and is stored as ended. What still runs of it becomes a stray of its worker. The id
    /// is taken by value, since it is often that of the row which goes.
    void forgetJob(JobId);

    /// The task's row; null if the job is not here or has no such task.
    TaskRow* findTask(const TaskName&);
    const StepSpec* findStep(const TaskName&) const;
    WorkerRow* findWorker(const WorkerId&);
    const WorkerRow* findWorker(const WorkerId&) const;

    /// Whether the task's turn has come: the steps that it follows are done, and it is due.
    bool isReady(const JobRow&, const OccurrenceRow&, std::uint32_t step, std::int64_t nowUnixMs) const;

    /// Takes over what an earlier holder had placed on workers that are still known. Each such task counts as started
    /// until its worker says otherwise or its lease is over.
    void inherit(JobRow&, const std::map<TaskName, TaskPlacement>&, Instant now);

    /// Binds a waiting task to a worker.
    Attempt& beginAttempt(WorkerRow&, JobRow&, const TaskName&, std::uint32_t run, AttemptPhase, Instant now);

    /// An order to start a task of the job has left, or has left an earlier holder.
    void noteStarted(JobRow&);

    /// Removes an attempt; its task waits again unless it is done.
    void releaseAttempt(WorkerRow&, const TaskName&);

    /// A ticket for the task's step has been refused, so the service has to be asked again.
    void dropTicket(const TaskName&, const WorkerId&);

    /// Marks a task as done. Its job is completed if it was the last one.
    void finishTask(JobRow&, const TaskName&);

    /// Counts a failed attempt once, however often it is reported. The job fails if the task has failed as often as its
    /// queue allows.
    void countFailure(JobRow&, const TaskName&, std::uint32_t run, const WorkerId&);

    /// Marks the job's stored progress as behind.
    void markUnrecorded(JobRow&);

    /// Releases all that a worker held, because that life of it is over, and forgets its reported ends.
    void clearWorker(WorkerRow&);

    /// What has to be stored of the job.
    JobProgress progressOf(const JobRow&) const;

    /// Visits the current attempts of a job's tasks, with their workers. The visit may release the attempt.
    template <typename Visit> void forEachAttempt(JobRow& job, Visit visit)
    {
        if (!job.activeTasks)
            return;
        TaskName name { job.record.id };
        for (name.occurrence = 0; name.occurrence < job.occurrences.size(); ++name.occurrence) {
            auto& steps = job.occurrences[name.occurrence].steps;
            for (name.step = 0; name.step < steps.size(); ++name.step) {
                if (steps[name.step].activeCount)
                    this->forEachAttempt(steps[name.step], name, visit);
            }
        }
    }

    /// Visits those of one step. The name's index is not used.
    template <typename Visit> void forEachAttempt(StepRow& step, TaskName name, Visit visit)
    {
        for (name.index = 0; name.index < step.tasks.size(); ++name.index) {
            const TaskRow& task = step.tasks[name.index];
            WorkerRow* worker = task.phase == TaskPhase::Active ? this->findWorker(task.worker) : nullptr;
            if (!worker)
                continue;
            if (auto found = worker->attempts.find(name); found != worker->attempts.end())
                visit(*worker, found->second);
        }
    }

private:
    StepRow& stepRow(JobRow&, const TaskName&);
};

} // namespace Greengage
