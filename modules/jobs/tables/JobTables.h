#pragma once

#include <core/time/Instant.h>
#include <jobs/model/JobPolicies.h>
#include <jobs/model/JobProgress.h>
#include <jobs/tables/JobRow.h>
#include <jobs/tables/OpenOrders.h>
#include <jobs/tables/WorkerRow.h>

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace Greengage {

/// The job tables of the leader: jobs that have not ended, workers, and the attempts of those jobs on those workers.
/// The member functions keep the tables consistent; the systems make the decisions.
class JobTables {
public:
    std::unordered_map<JobId, JobRow> jobs;
    std::unordered_map<WorkerId, WorkerRow> workers;
    std::shared_ptr<const JobPolicies> policies = std::make_shared<JobPolicies>();
    /// Queues that the operators have removed, as they were last. Accepted jobs of theirs go on.
    std::unordered_map<QueueId, QueuePolicy> removedQueues;
    /// Jobs whose stored progress is out of date, or that have ended and are still stored as open.
    std::set<JobId> unsavedJobs;
    /// Jobs that ended and were removed. A store listing whose answer is delayed may still contain them as open.
    std::set<JobId> removedJobs;
    /// Jobs of which no task is started before a time, because an unforeseen error came with their handling.
    std::unordered_map<JobId, Deadline> setAsideUntil;
    /// The resources that each team has in use on workers.
    std::unordered_map<TeamId, ResourceAmount> usage;
    /// Attempt numbers below this one may have been used by an earlier leader.
    std::uint32_t lowestRun = 1;
    /// Until then, a worker that has not been reached may still run attempts that an earlier leader started.
    Deadline inheritedLeasesExpire;
    /// The same for a worker that has started again, which may hold the longest lease that workers grant.
    Deadline inheritedLongestLeasesExpire;
    /// Until then, any worker may carry out copies of start orders that earlier leaders sent.
    Deadline inheritedCopiesArriveUntil;
    /// What the leaders before have told of their orders.
    OpenOrders openOrders;
    /// Whether the last leader's worker roster could not be read. Then workers may run attempts that neither the
    /// directory nor the roster names, and any may have started again.
    bool isRosterUnreadable = false;

    /// Adds a job. Returns false if the tables have it already or it has ended.
    bool addJob(JobRecord, const JobProgress&);

    /// Ends a job: none of its tasks starts any more, and running attempts are stopped.
    void endJob(JobRow&, JobState);

    /// Removes a job that has ended and is stored as ended. Attempts of it that still run become orphaned attempts of
    /// their workers. The id is passed by value, since callers often pass the id in the row that is erased.
    void removeJob(JobId);

    /// Returns the row of the task, or null if the job is not in the tables or has no such task.
    TaskRow* findTask(const TaskName&);
    const StepSpec* findStep(const TaskName&) const;
    WorkerRow* findWorker(const WorkerId&);
    const WorkerRow* findWorker(const WorkerId&) const;

    /// The policy that the job follows: that of its queue now or, if the queue has been removed, as it was last or when
    /// the job was accepted. Null if none is known, or no policies have been read yet.
    const QueuePolicy* policyOf(const JobRow&) const;

    /// Whether no task of the job is started for now, because an unforeseen error came with its handling.
    bool isSetAside(const JobId&, Instant now) const;

    /// Whether the worker may still carry out a copy of a start order, of this leader or of an earlier one.
    bool mayCopyArrive(const WorkerRow&, Instant now) const;

    /// Whether the maximum of the job's team permits a task of the step to start now, or the whole gang. Attempts that
    /// are planned, and those that are being stopped, count as running.
    bool doesMaximumPermit(const JobRow&, const StepSpec&) const;

    /// Whether tasks of the step can start: the steps that it depends on are done, and the occurrence is due.
    bool isReady(const JobRow&, const OccurrenceRow&, std::uint32_t step, std::int64_t nowUnixMs) const;

    /// Restores the placements that an earlier leader stored, for workers that are still known, and for all if the
    /// roster is unreadable. Each such task counts as started until its worker reports otherwise or has ended, or the
    /// worker's lease has expired.
    void restorePlacements(JobRow&, const std::map<TaskName, TaskPlacement>&, Instant now);

    /// Adds an attempt of a waiting task on a worker.
    Attempt& beginAttempt(WorkerRow&, JobRow&, const TaskName&, std::uint32_t run, AttemptPhase, Instant now);

    /// Records that a worker has started a task of the job.
    void recordStart(JobRow&);

    /// The same for the job with this id, if the tables have it.
    void recordStart(const JobId&);

    /// Removes an attempt, which does not run any more as of `provenAt` for the reason given. Its task waits again
    /// unless it is done.
    void releaseAttempt(WorkerRow&, const TaskName&, ReleaseReason, Instant provenAt);

    /// Subtracts what an orphaned attempt occupies. The caller removes it from the worker's orphans.
    void releaseOrphan(WorkerRow&, const Attempt& orphan);

    /// Removes a ticket that the worker refused, so that the advice service is asked again.
    void dropTicket(const TaskName&, const WorkerId&);

    /// Marks a task as done. If it was the last one, the job is completed.
    void finishTask(JobRow&, const TaskName&);

    /// Counts a failed attempt, but only once if it is reported again. The job fails when the task has failed as often
    /// as the queue allows, unless the task is long-running.
    void countFailure(JobRow&, const TaskName&, std::uint32_t run, const WorkerId&);

    /// Marks the stored progress of the job as out of date.
    void markUnsaved(JobRow&);

    /// Releases all attempts of a worker that can run none of them any more, and resets its record of reported ends.
    void clearWorker(WorkerRow&, ReleaseReason, Instant now);

    /// Releases the attempts and orphaned attempts that have certainly ended by `hasEnded`. Returns how many.
    std::size_t releaseAttemptsIf(
        WorkerRow&, ReleaseReason, Instant now, const std::function<bool(const Attempt&)>& hasEnded);

    /// The worker has started again under its id. Releases the attempts that have ended with its former incarnation and
    /// resets its record of reported ends. The other attempts stay: the new incarnation may have received their start
    /// orders, or may still do so.
    void restartWorker(WorkerRow&, Instant now);

    /// Returns the progress of the job that has to be stored.
    JobProgress progressOf(const JobRow&) const;

    /// Calls `visit(WorkerRow&, Attempt&)` for the current attempt of each task of the job. `visit` may release the
    /// attempt.
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

    /// The same for one step. The index in `name` is ignored.
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
    /// Adds a worker of which only the id is known.
    WorkerRow& addUnknownWorker(const WorkerId&);
    TaskPlacement placementOf(const TaskName&, const TaskRow&) const;
    StepRow& stepRow(JobRow&, const TaskName&);
};

} // namespace Greengage
