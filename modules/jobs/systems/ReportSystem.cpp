#include <jobs/systems/ReportSystem.h>

#include <core/errors/WorkScope.h>
#include <jobs/model/WorkerReport.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Greengage {

namespace {

AttemptEventKind eventKindOf(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return AttemptEventKind::Done;
    case EndKind::Failed:
        return AttemptEventKind::Failed;
    case EndKind::Stopped:
        return AttemptEventKind::Stopped;
    case EndKind::LeaseExpired:
        return AttemptEventKind::LeaseExpired;
    case EndKind::GangBroken:
        return AttemptEventKind::GangBroken;
    case EndKind::GangIncomplete:
        return AttemptEventKind::GangIncomplete;
    case EndKind::Unknown:
        return AttemptEventKind::UnknownEnd;
    }
    return AttemptEventKind::Lost;
}

constexpr int fullSpeedPercent = 100;

void applyFigures(Attempt& attempt, const RunningAttempt& running)
{
    attempt.checkpoint = running.checkpoint;
    attempt.speedPercent = running.speedPercent;
    attempt.isAtFullSpeed = running.speedPercent == fullSpeedPercent;
    attempt.load = running.load;
}

} // namespace

std::vector<AttemptEvent> ReportSystem::apply(
    WorkerRow& worker, const WorkerReport& report, Instant sentAt, Instant now)
{
    this->events.clear();
    worker.isReached = true;
    worker.hasEnded = false;
    worker.lastReport = now;
    worker.clockMs = report.clockMs;
    worker.clockReadAt = now;
    worker.clockRequestedAt = sentAt;
    for (const auto& end : report.ended) {
        if (end.number <= worker.appliedEnds)
            continue;
        worker.appliedEnds = end.number;
        this->handleEnd(worker, end, now);
    }
    // An end that cannot be read may be forgotten as well, unless its number cannot be right either.
    if (report.unreadable.lastEnd <= worker.appliedEnds + report.unreadable.ended)
        worker.appliedEnds = std::max(worker.appliedEnds, report.unreadable.lastEnd);
    for (const auto& running : report.running)
        this->handleRunning(worker, running, now);
    if (report.isComplete())
        this->releaseUnlisted(worker, report, sentAt);
    return std::exchange(this->events, {});
}

void ReportSystem::handleEnd(WorkerRow& worker, const EndedAttempt& end, Instant now)
{
    WorkScope scope(WorkKind::Job, end.task.job.string());
    this->recordEvent(eventKindOf(end.kind), end.task, end.run, worker);
    if (auto orphan = worker.orphans.find({ end.task, end.run }); orphan != worker.orphans.end()) {
        this->tables.releaseOrphan(worker, orphan->second);
        worker.orphans.erase(orphan);
    }
    this->tables.recordStart(end.task.job);
    auto job = this->tables.jobs.find(end.task.job);
    bool isOpen = job != this->tables.jobs.end() && !job->second.hasEnded();
    if (end.kind == EndKind::Done) {
        worker.consecutiveFailures = 0;
        if (isOpen)
            this->handleDone(worker, end);
    } else if (end.kind == EndKind::Failed) {
        this->countFailure(worker, end, now);
        if (isOpen)
            this->tables.countFailure(job->second, end.task, end.run, worker.info.id);
    }
    auto attempt = worker.attempts.find(end.task);
    if (attempt == worker.attempts.end() || attempt->second.run != end.run)
        return;
    if (!end.checkpoint.empty())
        attempt->second.checkpoint = end.checkpoint;
    this->tables.releaseAttempt(worker, end.task, ReleaseReason::EndReported, now);
}

void ReportSystem::countFailure(WorkerRow& worker, const EndedAttempt& end, Instant now)
{
    auto attempt = worker.attempts.find(end.task);
    bool isKnown = attempt != worker.attempts.end() && attempt->second.run == end.run;
    if (isKnown && attempt->second.isLongRunning && !this->isFailureOfWorker(attempt->second, now))
        return;
    worker.consecutiveFailures += 1;
    // Attempts that fail meanwhile were started before, so the worker has not been tried again yet.
    if (worker.consecutiveFailures >= failuresBeforeQuarantine && worker.quarantinedUntil.hasPassed(now))
        worker.quarantinedUntil = Deadline::after(now, quarantineDuration);
}

bool ReportSystem::isFailureOfWorker(const Attempt& attempt, Instant now)
{
    bool isEarly = now - attempt.orderedAt < provenRunTime;
    TaskRow* row = this->tables.findTask(attempt.task);
    if (!row)
        return isEarly;
    bool isRepeated = std::exchange(row->hasFailedEarly, isEarly);
    if (isEarly && isRepeated)
        row->nextStart = Deadline::after(now, retryPause);
    return isEarly && !isRepeated;
}

void ReportSystem::handleDone(WorkerRow& worker, const EndedAttempt& end)
{
    TaskRow* row = this->tables.findTask(end.task);
    if (!row || row->phase == TaskPhase::Done)
        return;
    JobRow& job = this->tables.jobs.at(end.task.job);
    // An attempt of the task on another worker, or with another number, is no longer needed.
    if (row->worker != worker.info.id || row->run != end.run)
        this->stopAttempt(end.task, [](const Attempt&) { return true; });
    this->tables.markUnsaved(job);
    if (!job.record.spec.steps[end.task.step].gang) {
        this->tables.finishTask(job, end.task);
        return;
    }
    // The members of a gang end together, so the end of one finishes all of them. One whose start order is not answered
    // must not start any more.
    auto count = static_cast<std::uint32_t>(job.occurrences[end.task.occurrence].steps[end.task.step].tasks.size());
    for (std::uint32_t index = 0; index < count; ++index) {
        TaskName member { end.task.job, end.task.occurrence, end.task.step, index };
        this->stopAttempt(
            member, [&end](const Attempt& attempt) { return attempt.run != end.run || !attempt.isAnswered; });
        this->tables.finishTask(job, member);
    }
}

template <typename Condition> void ReportSystem::stopAttempt(const TaskName& task, Condition isUnneeded)
{
    TaskRow* row = this->tables.findTask(task);
    WorkerRow* worker = row && row->phase == TaskPhase::Active ? this->tables.findWorker(row->worker) : nullptr;
    if (!worker)
        return;
    if (auto found = worker->attempts.find(task); found != worker->attempts.end() && isUnneeded(found->second))
        found->second.phase = AttemptPhase::Stopping;
}

void ReportSystem::handleRunning(WorkerRow& worker, const RunningAttempt& running, Instant now)
{
    WorkScope scope(WorkKind::Job, running.task.job.string());
    this->tables.recordStart(running.task.job);
    auto found = worker.attempts.find(running.task);
    if (found != worker.attempts.end() && found->second.run == running.run) {
        Attempt& attempt = found->second;
        if (attempt.phase != AttemptPhase::Stopping)
            attempt.phase = AttemptPhase::Running;
        bool wasListed = attempt.isListed;
        attempt.isAnswered = true;
        attempt.isListed = true;
        attempt.confirmedAt = now;
        applyFigures(attempt, running);
        // Stored, so that the next leader waits for no lease if the worker ends, and not for the longest one if it is
        // cut off.
        if (attempt.isLongRunning && attempt.isSettled() && !wasListed)
            this->markUnsaved(running.task.job);
        return;
    }
    if (auto orphan = worker.orphans.find({ running.task, running.run }); orphan != worker.orphans.end()) {
        orphan->second.isAnswered = true;
        orphan->second.isListed = true;
        orphan->second.confirmedAt = now;
        return;
    }
    if (!this->adopt(worker, running, now))
        this->addOrphan(worker, running, now);
}

bool ReportSystem::adopt(WorkerRow& worker, const RunningAttempt& running, Instant now)
{
    TaskRow* row = this->tables.findTask(running.task);
    if (!row || row->phase != TaskPhase::Waiting || worker.attempts.contains(running.task))
        return false;
    JobRow& job = this->tables.jobs.at(running.task.job);
    if (job.hasEnded())
        return false;
    Attempt& attempt = this->tables.beginAttempt(worker, job, running.task, running.run, AttemptPhase::Running, now);
    attempt.isAnswered = true;
    attempt.isListed = true;
    applyFigures(attempt, running);
    attempt.wantedSpeedPercent = running.speedPercent;
    this->recordEvent(AttemptEventKind::Adopted, running.task, running.run, worker);
    return true;
}

void ReportSystem::addOrphan(WorkerRow& worker, const RunningAttempt& running, Instant now)
{
    Attempt orphan;
    orphan.task = running.task;
    orphan.run = running.run;
    orphan.phase = AttemptPhase::Stopping;
    orphan.isAnswered = true;
    orphan.isListed = true;
    orphan.confirmedAt = now;
    if (const StepSpec* step = this->tables.findStep(running.task)) {
        orphan.team = this->tables.jobs.at(running.task.job).record.team;
        orphan.charged = step->demand;
        orphan.occupied = step->occupiedPerTask();
        worker.occupied += orphan.occupied;
        this->tables.usage[orphan.team] += orphan.charged;
    }
    worker.orphans.emplace(std::pair(running.task, running.run), orphan);
    this->recordEvent(AttemptEventKind::Unwanted, running.task, running.run, worker);
}

void ReportSystem::releaseUnlisted(WorkerRow& worker, const WorkerReport& report, Instant sentAt)
{
    std::set<std::pair<TaskName, std::uint32_t>> listed;
    for (const auto& running : report.running)
        listed.emplace(running.task, running.run);
    // A report says nothing about an attempt that was confirmed after the request was sent, or whose start order may
    // still arrive.
    auto isLost = [&](const Attempt& attempt) {
        bool mayStillStart = !attempt.isAnswered && !attempt.orderExpires.hasPassed(sentAt);
        return attempt.mayHaveBeenSent() && !mayStillStart && attempt.confirmedAt < sentAt
            && !listed.contains({ attempt.task, attempt.run });
    };
    std::vector<TaskName> lost;
    for (auto& [task, attempt] : worker.attempts) {
        if (isLost(attempt))
            lost.push_back(task);
        else if (attempt.isInDoubt() && attempt.confirmedAt < sentAt)
            attempt.phase = AttemptPhase::Stopping; // Only then does the worker refuse a start order that comes late.
    }
    for (const auto& task : lost) {
        this->recordEvent(AttemptEventKind::Lost, task, worker.attempts.at(task).run, worker);
        this->tables.releaseAttempt(worker, task, ReleaseReason::NotListed, sentAt);
    }
    std::erase_if(worker.orphans, [&](const auto& entry) {
        if (!isLost(entry.second))
            return false;
        this->tables.releaseOrphan(worker, entry.second);
        return true;
    });
}

void ReportSystem::markUnsaved(const JobId& id)
{
    if (auto job = this->tables.jobs.find(id); job != this->tables.jobs.end() && !job->second.hasEnded())
        this->tables.markUnsaved(job->second);
}

void ReportSystem::recordEvent(AttemptEventKind kind, const TaskName& task, std::uint32_t run, const WorkerRow& worker)
{
    this->events.push_back({ kind, task, run, worker.info.id });
}

} // namespace Greengage
