#include <fleet/placement/messages/AttemptReported.h>
#include <fleet/placement/systems/HealthSystem.h>
#include <fleet/placement/systems/PlacementTables.h>
#include <fleet/placement/systems/ReportSystem.h>

#include <algorithm>

namespace Greengage {

namespace {

constexpr Seconds leaseDuration(10);
constexpr Seconds expiredAskInterval(5);
/// A task that has run for this long shows that its worker is healthy.
constexpr Seconds healthyRunTime(10);
constexpr int maxFailures = 3;
constexpr std::ptrdiff_t maxProvenWorkersFailingJob = 3;
constexpr std::size_t maxWorkersFailingJob = 6;
constexpr double memoryGrowth = 2.0;

JobEntry* jobOf(PlacementTables& tables, const Attempt& attempt)
{
    auto found = tables.jobs.find(attempt.job);
    return found == tables.jobs.end() ? nullptr : &found->second;
}

/// Queues the job again unless it is waiting or another attempt of it is live.
void requeue(PlacementTables& tables, JobEntry& entry)
{
    if (!entry.isWaiting && entry.attempts.empty())
        tables.enqueue(entry);
}

void growReservation(PlacementTables& tables, Attempt& attempt, const Resources& peak)
{
    auto* worker = tables.workers.find(attempt.worker);
    auto wanted = attempt.reserved.max(peak);
    wanted.accelerators = attempt.reserved.accelerators;
    if (wanted == attempt.reserved)
        return;
    if ((wanted - attempt.reserved).fitsWithin(worker->free())) {
        tables.setReserved(attempt, wanted);
    } else if (!attempt.isThrottled && peak.processors > attempt.reserved.processors) {
        attempt.isThrottled = true;
        tables.outputs.emplace_back(ThrottleTask { attempt.number, attempt.worker, attempt.reserved.processors });
    }
}

void handleRunning(PlacementTables& tables, Attempt& attempt, const AttemptReported& report)
{
    if (attempt.phase == AttemptPhase::Expired) {
        auto* entry = jobOf(tables, attempt);
        const bool isOnlyCopy = entry && entry->attempts.size() == 1;
        if (!isOnlyCopy) {
            tables.outputs.emplace_back(StopTask { attempt.number, attempt.worker, attempt.workerBoot, false });
            return;
        }
        tables.dequeue(*entry);
        tables.setPhase(attempt, AttemptPhase::Running);
    }
    attempt.lease = std::max(attempt.lease, Deadline::after(report.notBefore, leaseDuration));
    if (attempt.phase == AttemptPhase::Ending) {
        const auto* entry = jobOf(tables, attempt);
        const bool canCheckpoint = entry && attempt.requeuesJob && entry->job.canCheckpoint;
        tables.outputs.emplace_back(StopTask { attempt.number, attempt.worker, attempt.workerBoot, canCheckpoint });
        return;
    }
    if (attempt.phase == AttemptPhase::Starting)
        tables.setPhase(attempt, AttemptPhase::Running);
    if (tables.now - attempt.startedAt >= healthyRunTime)
        recordWorkerSuccess(tables, attempt);
    growReservation(tables, attempt, report.peakUsage);
}

/// Whether the job has failed on several workers that run other jobs successfully, on many workers, or on all.
bool isJobAtFault(PlacementTables& tables, const JobEntry& entry)
{
    auto isProven = [&](const WorkerId& id) {
        const auto* worker = tables.workers.find(id);
        return worker && worker->hasSucceeded && worker->health == WorkerHealth::Healthy;
    };
    auto proven = std::count_if(entry.failedWorkers.begin(), entry.failedWorkers.end(), isProven);
    return proven >= maxProvenWorkersFailingJob || entry.failedWorkers.size() >= maxWorkersFailingJob
        || entry.failedWorkers.size() >= tables.workers.all().size();
}

void endFailedStart(PlacementTables& tables, const Attempt& attempt)
{
    recordWorkerFailure(tables, attempt);
    auto* entry = jobOf(tables, attempt);
    if (!entry)
        return;
    entry->failedWorkers.insert(attempt.worker);
    if (isJobAtFault(tables, *entry))
        tables.endJob(attempt.job, JobOutcome::NeverStarts,
            "could not be started on any of " + std::to_string(entry->failedWorkers.size()) + " workers");
    else
        requeue(tables, *entry);
}

void endFailed(PlacementTables& tables, const Attempt& attempt, const AttemptReported& report)
{
    auto* entry = jobOf(tables, attempt);
    const bool isOutOfMemory = report.status == AttemptStatus::OutOfMemory;
    if (!isOutOfMemory)
        recordWorkerFailure(tables, attempt);
    if (!entry)
        return;
    if (isOutOfMemory) {
        tables.learner.learnSize(*entry->history, entry->job, report.peakUsage);
        entry->minimumSize.memoryGigabytes = attempt.reserved.memoryGigabytes * memoryGrowth;
    } else {
        entry->failedWorkers.insert(attempt.worker);
        entry->failures++;
    }
    if (!entry->job.idempotent || entry->failures >= maxFailures)
        tables.endJob(attempt.job, JobOutcome::Failed, std::string(nameOf(report.status)));
    else
        requeue(tables, *entry);
}

void endCompleted(PlacementTables& tables, const Attempt& attempt, const AttemptReported& report)
{
    recordWorkerSuccess(tables, attempt);
    if (auto* entry = jobOf(tables, attempt)) {
        tables.learner.learnSize(*entry->history, entry->job, report.peakUsage);
        tables.learner.learnRunTime(*entry->history, entry->job, tables.now - attempt.startedAt);
    }
    tables.endJob(attempt.job, JobOutcome::Completed, {});
}

/// The attempt has stopped before completion and without a checkpoint.
void endStopped(PlacementTables& tables, const Attempt& attempt)
{
    auto* entry = jobOf(tables, attempt);
    if (!entry)
        return;
    if (entry->job.idempotent)
        requeue(tables, *entry);
    else
        tables.endJob(attempt.job, JobOutcome::Lost, "stopped before completion; may have run in part");
}

} // namespace

void applyReport(PlacementTables& tables, const AttemptReported& report)
{
    auto found = tables.attempts.find(report.attempt);
    if (found == tables.attempts.end() || found->second.phase == AttemptPhase::Awaiting)
        return;
    if (report.status == AttemptStatus::Running) {
        handleRunning(tables, found->second, report);
        return;
    }
    const auto attempt = found->second;
    tables.removeAttempt(report.attempt);
    switch (report.status) {
    case AttemptStatus::Completed:
        endCompleted(tables, attempt, report);
        break;
    case AttemptStatus::FailedToStart:
        endFailedStart(tables, attempt);
        break;
    case AttemptStatus::Checkpointed:
        if (auto* entry = jobOf(tables, attempt))
            requeue(tables, *entry);
        break;
    case AttemptStatus::Stopped:
        endStopped(tables, attempt);
        break;
    default:
        endFailed(tables, attempt, report);
        break;
    }
}

void applyBoot(PlacementTables& tables, const WorkerId& id)
{
    auto* worker = tables.workers.find(id);
    const auto numbers = worker->attempts;
    for (auto number : numbers) {
        auto attempt = tables.attempts.at(number);
        if (attempt.workerBoot >= worker->record.boot)
            continue;
        if (attempt.phase == AttemptPhase::Awaiting) {
            tables.withdrawAttempt(number);
            continue;
        }
        tables.removeAttempt(number);
        endStopped(tables, attempt);
    }
}

void expireLeases(PlacementTables& tables)
{
    for (auto& [number, attempt] : tables.attempts) {
        if (attempt.phase == AttemptPhase::Awaiting || !attempt.lease.hasPassed(tables.now))
            continue;
        auto* entry = jobOf(tables, attempt);
        const bool hasJustExpired = attempt.phase != AttemptPhase::Expired;
        tables.setPhase(attempt, AttemptPhase::Expired);
        attempt.lease = Deadline::after(tables.now, expiredAskInterval);
        if (hasJustExpired && entry && entry->job.idempotent && !entry->isWaiting)
            tables.enqueue(*entry);
        tables.outputs.emplace_back(AskAttempt { number, attempt.worker, attempt.workerBoot });
    }
}

} // namespace Greengage
