#include <jobs/tables/JobTables.h>

#include <jobs/model/TeamMaximum.h>

#include <algorithm>
#include <utility>

namespace Greengage {

namespace {

std::vector<OccurrenceRow> makeOccurrences(const JobSpec& spec)
{
    std::vector<OccurrenceRow> occurrences(std::max<std::uint32_t>(1, spec.occurrences));
    for (std::size_t index = 0; index < occurrences.size(); ++index) {
        auto& occurrence = occurrences[index];
        if (spec.occurrences)
            occurrence.dueUnixMs = spec.firstDueUnixMs + static_cast<std::int64_t>(index) * spec.intervalMs;
        for (const auto& step : spec.steps)
            occurrence.steps.emplace_back().tasks.resize(step.taskCount);
    }
    return occurrences;
}

/// Resets what the leader knows of the worker's former incarnation, apart from its attempts.
void forgetIncarnation(WorkerRow& worker)
{
    worker.appliedEnds = 0;
    worker.storedEnds = 0;
    worker.isReached = false;
}

/// Keeps an attempt whose start order may reach the worker's new incarnation. Its order does not expire, since it was
/// valid until a time on the clock of the former incarnation, and is not repeated.
void leaveInDoubt(Attempt& attempt)
{
    if (attempt.phase != AttemptPhase::Stopping)
        attempt.phase = AttemptPhase::Unanswered;
    attempt.wasOrderedBeforeRestart = true;
    attempt.isListed = false;
    attempt.wasListed = false;
    attempt.isAnswered = false;
    attempt.orderExpires = Deadline::never();
    attempt.nextStartOrder = Deadline::never();
    attempt.isStopOrderPending = false;
    attempt.nextStopOrder = Deadline();
    attempt.isSpeedOrderPending = false;
}

} // namespace

bool JobTables::addJob(JobRecord record, const JobProgress& progress)
{
    if (this->removedJobs.contains(record.id))
        return false;
    auto [entry, added] = this->jobs.try_emplace(record.id);
    if (!added)
        return false;
    JobRow& job = entry->second;
    job.record = std::move(record);
    job.occurrences = makeOccurrences(job.record.spec);
    if (progress.hasStarted || !progress.done.empty() || !progress.failedRuns.empty())
        this->recordStart(job);
    for (const auto& [task, runs] : progress.failedRuns) {
        if (auto* row = this->findTask(task))
            row->failedRuns = runs;
    }
    for (const auto& task : progress.done)
        this->finishTask(job, task);
    return true;
}

void JobTables::endJob(JobRow& job, JobState state)
{
    if (job.hasEnded())
        return;
    job.state = state;
    this->markUnsaved(job);
    this->forEachAttempt(job, [this](WorkerRow& worker, Attempt& attempt) {
        if (attempt.mayHaveBeenSent())
            attempt.phase = AttemptPhase::Stopping;
        else
            this->releaseAttempt(worker, TaskName(attempt.task), ReleaseReason::NotOrdered, {});
    });
}

void JobTables::removeJob(JobId id)
{
    auto found = this->jobs.find(id);
    if (found == this->jobs.end())
        return;
    if (found->second.attempts) {
        for (auto& [workerId, worker] : this->workers) {
            auto attempt = worker.attempts.lower_bound(TaskName { id });
            while (attempt != worker.attempts.end() && attempt->first.job == id) {
                Attempt orphan = attempt->second;
                auto next = std::next(attempt);
                this->releaseAttempt(worker, attempt->first, ReleaseReason::NotOrdered, {});
                orphan.phase = AttemptPhase::Stopping;
                worker.occupied += orphan.occupied;
                this->usage[orphan.team] += orphan.charged;
                worker.orphans.emplace(std::pair(orphan.task, orphan.run), orphan);
                attempt = next;
            }
        }
    }
    this->jobs.erase(id);
    this->unsavedJobs.erase(id);
    this->removedJobs.insert(std::move(id));
}

TaskRow* JobTables::findTask(const TaskName& task)
{
    auto job = this->jobs.find(task.job);
    if (job == this->jobs.end() || task.occurrence >= job->second.occurrences.size())
        return nullptr;
    auto& steps = job->second.occurrences[task.occurrence].steps;
    if (task.step >= steps.size() || task.index >= steps[task.step].tasks.size())
        return nullptr;
    return &steps[task.step].tasks[task.index];
}

const StepSpec* JobTables::findStep(const TaskName& task) const
{
    auto job = this->jobs.find(task.job);
    if (job == this->jobs.end() || task.step >= job->second.record.spec.steps.size())
        return nullptr;
    return &job->second.record.spec.steps[task.step];
}

WorkerRow* JobTables::findWorker(const WorkerId& id)
{
    auto found = this->workers.find(id);
    return found == this->workers.end() ? nullptr : &found->second;
}

const WorkerRow* JobTables::findWorker(const WorkerId& id) const
{
    auto found = this->workers.find(id);
    return found == this->workers.end() ? nullptr : &found->second;
}

const QueuePolicy* JobTables::policyOf(const JobRow& job) const
{
    const QueueId& queue = job.record.queue;
    if (auto current = this->policies->queues.find(queue); current != this->policies->queues.end())
        return &current->second;
    if (!this->policies->version)
        return nullptr;
    if (auto removed = this->removedQueues.find(queue); removed != this->removedQueues.end())
        return &removed->second;
    return job.record.queuePolicy ? &*job.record.queuePolicy : nullptr;
}

bool JobTables::isSetAside(const JobId& job, Instant now) const
{
    auto found = this->setAsideUntil.find(job);
    return found != this->setAsideUntil.end() && !found->second.hasPassed(now);
}

bool JobTables::mayCopyArrive(const WorkerRow& worker, Instant now) const
{
    return worker.openCopies.mayArrive(now) || !this->inheritedCopiesArriveUntil.hasPassed(now);
}

bool JobTables::doesMaximumPermit(const JobRow& job, const StepSpec& step) const
{
    auto team = this->policies->teams.find(job.record.team);
    if (team == this->policies->teams.end())
        return true;
    auto use = this->usage.find(job.record.team);
    return TeamMaximum(team->second.maximum).permits(step, use == this->usage.end() ? ResourceAmount() : use->second);
}

bool JobTables::isReady(
    const JobRow& job, const OccurrenceRow& occurrence, std::uint32_t step, std::int64_t nowUnixMs) const
{
    if (nowUnixMs < occurrence.dueUnixMs)
        return false;
    const auto& after = job.record.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](auto earlier) { return occurrence.steps[earlier].isDone(); });
}

void JobTables::restorePlacements(JobRow& job, const std::map<TaskName, TaskPlacement>& placements, Instant now)
{
    for (const auto& [task, placement] : placements) {
        TaskRow* row = this->findTask(task);
        WorkerRow* worker = this->findWorker(placement.worker);
        if (!row || row->phase != TaskPhase::Waiting)
            continue;
        row->run = placement.run;
        if (!worker && this->isRosterUnreadable)
            worker = &this->addUnknownWorker(placement.worker);
        // A worker that is neither in the directory nor on the stored worker roster holds no lease any more.
        if (!worker) {
            row->former = FormerAttempt { placement.worker, placement.run, ReleaseReason::WorkerUnknown, {}, now };
            continue;
        }
        if (worker->attempts.contains(task))
            continue;
        Attempt& attempt = this->beginAttempt(*worker, job, task, placement.run, AttemptPhase::Unanswered, now);
        const auto& told = this->openOrders.starts;
        if (auto order = told.find({ task, placement.run }); order != told.end())
            attempt.orderedAt = attempt.lastSentAt = std::min(now, order->second);
        if (placement.isSettled) {
            attempt.startOrdersSent = 1;
            attempt.isAnswered = true;
            attempt.isAccepted = true;
            attempt.wasListed = placement.wasListed;
        }
    }
}

WorkerRow& JobTables::addUnknownWorker(const WorkerId& id)
{
    WorkerRow& worker = this->workers[id];
    worker.info.id = id;
    worker.isListed = false;
    worker.isSuspect = true;
    return worker;
}

Attempt& JobTables::beginAttempt(
    WorkerRow& worker, JobRow& job, const TaskName& task, std::uint32_t run, AttemptPhase phase, Instant now)
{
    const StepSpec& step = job.record.spec.steps[task.step];
    TaskRow& row = *this->findTask(task);
    row.phase = TaskPhase::Active;
    row.worker = worker.info.id;
    row.run = run;
    this->stepRow(job, task).activeCount += 1;
    job.activeTasks += 1;
    Attempt attempt;
    attempt.task = task;
    attempt.run = run;
    attempt.phase = phase;
    if (phase == AttemptPhase::Running)
        this->recordStart(job);
    attempt.team = job.record.team;
    attempt.charged = step.demand;
    attempt.occupied = step.occupiedPerTask();
    attempt.isBestEffort = step.bestEffort;
    attempt.tailTarget = step.tailTarget;
    attempt.isLongRunning = step.longRunning;
    worker.bestEffortCount += attempt.isBestEffort ? 1 : 0;
    worker.latencySensitiveCount += attempt.isLatencySensitive() ? 1 : 0;
    attempt.orderedAt = now;
    attempt.confirmedAt = now;
    worker.occupied += attempt.occupied;
    this->usage[attempt.team] += attempt.charged;
    job.attempts += 1;
    return worker.attempts[task] = attempt;
}

void JobTables::recordStart(JobRow& job)
{
    job.hasStarted = true;
    if (job.state == JobState::Waiting)
        job.state = JobState::Running;
}

void JobTables::recordStart(const JobId& id)
{
    if (auto found = this->jobs.find(id); found != this->jobs.end())
        this->recordStart(found->second);
}

void JobTables::releaseAttempt(WorkerRow& worker, const TaskName& task, ReleaseReason reason, Instant provenAt)
{
    auto found = worker.attempts.find(task);
    if (found == worker.attempts.end())
        return;
    const Attempt& attempt = found->second;
    worker.occupied -= attempt.occupied;
    worker.bestEffortCount -= attempt.isBestEffort ? 1 : 0;
    worker.latencySensitiveCount -= attempt.isLatencySensitive() ? 1 : 0;
    this->usage[attempt.team] -= attempt.charged;
    if (auto job = this->jobs.find(task.job); job != this->jobs.end())
        job->second.attempts -= 1;
    TaskRow* row = this->findTask(task);
    if (row && row->phase == TaskPhase::Active && row->worker == worker.info.id && row->run == attempt.run) {
        JobRow& job = this->jobs.at(task.job);
        row->phase = TaskPhase::Waiting;
        row->checkpoint = attempt.checkpoint.empty() ? row->checkpoint : attempt.checkpoint;
        if (attempt.mayHaveBeenSent())
            row->former = FormerAttempt { worker.info.id, attempt.run, reason, attempt.orderedAt, provenAt };
        this->stepRow(job, task).activeCount -= 1;
        job.activeTasks -= 1;
        // Stored, also while there is no room for the task, so that the next leader does not wait for the attempt.
        if (attempt.isLongRunning && attempt.phase != AttemptPhase::Planned && !job.hasEnded())
            this->markUnsaved(job);
    }
    worker.attempts.erase(found);
}

void JobTables::dropTicket(const TaskName& task, const WorkerId& worker)
{
    if (this->findTask(task))
        this->stepRow(this->jobs.at(task.job), task).advice.tickets.erase(worker);
}

void JobTables::finishTask(JobRow& job, const TaskName& task)
{
    TaskRow* row = this->findTask(task);
    if (!row || row->phase == TaskPhase::Done)
        return;
    StepRow& step = this->stepRow(job, task);
    if (row->phase == TaskPhase::Active) {
        step.activeCount -= 1;
        job.activeTasks -= 1;
    }
    row->phase = TaskPhase::Done;
    step.doneCount += 1;
    if (!step.isDone())
        return;
    OccurrenceRow& occurrence = job.occurrences[task.occurrence];
    occurrence.doneSteps += 1;
    if (occurrence.doneSteps < occurrence.steps.size())
        return;
    job.doneOccurrences += 1;
    if (job.doneOccurrences == job.occurrences.size())
        this->endJob(job, JobState::Completed);
}

void JobTables::countFailure(JobRow& job, const TaskName& task, std::uint32_t run, const WorkerId& worker)
{
    TaskRow* row = this->findTask(task);
    if (!row || row->phase == TaskPhase::Done)
        return;
    if (job.record.spec.steps[task.step].longRunning) {
        row->failedOn = worker;
        return;
    }
    if (!row->failedRuns.insert(run).second)
        return;
    row->failedOn = worker;
    this->markUnsaved(job);
    const QueuePolicy* queue = this->policyOf(job);
    if (queue && row->failedRuns.size() >= queue->maxAttempts)
        this->endJob(job, JobState::Failed);
}

void JobTables::markUnsaved(JobRow& job) { this->unsavedJobs.insert(job.record.id); }

void JobTables::clearWorker(WorkerRow& worker, ReleaseReason reason, Instant now)
{
    while (!worker.attempts.empty()) {
        TaskName task = worker.attempts.begin()->first;
        this->releaseAttempt(worker, task, reason, now);
    }
    for (const auto& [key, orphan] : worker.orphans)
        this->releaseOrphan(worker, orphan);
    worker.orphans.clear();
    worker.occupied = {};
    forgetIncarnation(worker);
}

std::size_t JobTables::releaseAttemptsIf(
    WorkerRow& worker, ReleaseReason reason, Instant now, const std::function<bool(const Attempt&)>& hasEnded)
{
    std::vector<TaskName> ended;
    for (const auto& [task, attempt] : worker.attempts) {
        if (hasEnded(attempt))
            ended.push_back(task);
    }
    for (const auto& task : ended)
        this->releaseAttempt(worker, task, reason, now);
    std::size_t orphans = std::erase_if(worker.orphans, [&](const auto& entry) {
        if (!hasEnded(entry.second))
            return false;
        this->releaseOrphan(worker, entry.second);
        return true;
    });
    return ended.size() + orphans;
}

void JobTables::restartWorker(WorkerRow& worker, Instant now)
{
    this->releaseAttemptsIf(worker, ReleaseReason::IncarnationEnded, now,
        [](const Attempt& attempt) { return attempt.endsWithIncarnation(); });
    for (auto& [task, attempt] : worker.attempts)
        leaveInDoubt(attempt);
    for (auto& [key, orphan] : worker.orphans)
        leaveInDoubt(orphan);
    forgetIncarnation(worker);
}

void JobTables::releaseOrphan(WorkerRow& worker, const Attempt& orphan)
{
    worker.occupied -= orphan.occupied;
    this->usage[orphan.team] -= orphan.charged;
}

JobProgress JobTables::progressOf(const JobRow& job) const
{
    JobProgress progress;
    progress.hasStarted = job.hasStarted;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        const auto& steps = job.occurrences[occurrence].steps;
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
                const TaskRow& task = steps[step].tasks[index];
                TaskName name { job.record.id, occurrence, step, index };
                if (task.phase == TaskPhase::Active)
                    progress.placements.emplace(name, this->placementOf(name, task));
                if (task.phase == TaskPhase::Done)
                    progress.done.insert(name);
                else if (!task.failedRuns.empty())
                    progress.failedRuns.emplace(name, task.failedRuns);
            }
        }
    }
    return progress;
}

TaskPlacement JobTables::placementOf(const TaskName& name, const TaskRow& task) const
{
    TaskPlacement placement { task.worker, task.run };
    const WorkerRow* worker = this->findWorker(task.worker);
    if (!worker)
        return placement;
    auto found = worker->attempts.find(name);
    if (found == worker->attempts.end() || !found->second.isLongRunning)
        return placement;
    placement.isSettled = found->second.isSettled();
    placement.wasListed = placement.isSettled && found->second.isListed;
    return placement;
}

StepRow& JobTables::stepRow(JobRow& job, const TaskName& task)
{
    return job.occurrences[task.occurrence].steps[task.step];
}

} // namespace Greengage
