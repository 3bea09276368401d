#include <jobs/systems/AbsenceMonitor.h>

#include <jobs/systems/PlacementSystem.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace Greengage {

std::vector<TaskAbsence> AbsenceMonitor::check(Instant now, std::int64_t nowUnixMs)
{
    this->earlierAbsentSince = std::exchange(this->absentSince, {});
    this->absences.clear();
    for (const auto& [id, job] : this->tables.jobs) {
        const auto& steps = job.record.spec.steps;
        if (job.hasEnded() || !steps.front().longRunning)
            continue;
        TaskName name { id };
        for (name.occurrence = 0; name.occurrence < job.occurrences.size(); ++name.occurrence) {
            const auto& occurrence = job.occurrences[name.occurrence];
            for (name.step = 0; name.step < steps.size(); ++name.step) {
                if (steps[name.step].longRunning && this->tables.isReady(job, occurrence, name.step, nowUnixMs))
                    this->checkStep(job, name, occurrence.steps[name.step], now);
            }
        }
    }
    this->sortByRarity();
    return std::exchange(this->absences, {});
}

void AbsenceMonitor::checkStep(const JobRow& job, const TaskName& step, const StepRow& row, Instant now)
{
    std::optional<Obstacle> obstacle;
    TaskName name = step;
    for (name.index = 0; name.index < row.tasks.size(); ++name.index) {
        const TaskRow& task = row.tasks[name.index];
        if (task.phase == TaskPhase::Done)
            continue;
        const WorkerRow* worker = task.phase == TaskPhase::Active ? this->tables.findWorker(task.worker) : nullptr;
        const Attempt* attempt = nullptr;
        if (worker) {
            auto found = worker->attempts.find(name);
            attempt = found == worker->attempts.end() ? nullptr : &found->second;
        }
        if (attempt && isAtWork(*worker, *attempt, now))
            continue;
        Instant since = attempt && attempt->isAnswered ? attempt->confirmedAt : now;
        if (auto earlier = this->earlierAbsentSince.find(name); earlier != this->earlierAbsentSince.end())
            since = earlier->second;
        this->absentSince.emplace(name, since);
        if (now - since <= tolerance)
            continue;
        if (attempt) {
            this->absences.push_back({ name, reasonOf(*worker, *attempt), since, task.worker,
                attempt->mayHaveBeenSent() ? std::optional(attempt->orderedAt) : std::nullopt });
            continue;
        }
        if (!obstacle)
            obstacle = this->findObstacle(job, name, row, now);
        this->absences.push_back({ name, obstacle->reason, since, obstacle->worker, std::nullopt });
    }
}

bool AbsenceMonitor::isAtWork(const WorkerRow& worker, const Attempt& attempt, Instant now)
{
    return attempt.phase == AttemptPhase::Running && worker.isReached && !worker.isSuspect && attempt.speedPercent > 0
        && now - attempt.confirmedAt <= tolerance;
}

AbsenceReason AbsenceMonitor::reasonOf(const WorkerRow& worker, const Attempt& attempt)
{
    if (!attempt.mayHaveBeenSent())
        return AbsenceReason::AttemptNotStored;
    if (attempt.phase == AttemptPhase::Stopping)
        return attempt.isInDoubt() ? AbsenceReason::AttemptInDoubt : AbsenceReason::AttemptStopping;
    if (worker.isSuspect)
        return AbsenceReason::WorkerUnresponsive;
    if (!worker.isReached)
        return AbsenceReason::WorkerNotReached;
    if (attempt.isInDoubt())
        return AbsenceReason::AttemptInDoubt;
    if (attempt.phase != AttemptPhase::Running)
        return AbsenceReason::StartUnanswered;
    return attempt.speedPercent > 0 ? AbsenceReason::AttemptNotListed : AbsenceReason::Throttled;
}

AbsenceMonitor::Obstacle AbsenceMonitor::findObstacle(
    const JobRow& job, const TaskName& task, const StepRow& row, Instant now) const
{
    const QueuePolicy* queue = this->tables.policyOf(job);
    if (!queue)
        return { AbsenceReason::NoQueuePolicy, {} };
    if (this->tables.isSetAside(job.record.id, now))
        return { AbsenceReason::JobSetAside, {} };
    const StepSpec& step = job.record.spec.steps[task.step];
    if (step.gang && row.waitingCount() != row.tasks.size())
        return { AbsenceReason::GangIncomplete, {} };
    if (!this->tables.doesMaximumPermit(job, step))
        return { AbsenceReason::TeamAtMaximum, {} };
    Obstacle nearest;
    for (const auto& [id, worker] : this->tables.workers) {
        if (worker.info.pool != queue->pool)
            continue;
        AbsenceReason reason = this->obstacleAt(worker, job, task, row, now);
        if (reason > nearest.reason)
            nearest = { reason, id };
    }
    return nearest;
}

AbsenceReason AbsenceMonitor::obstacleAt(
    const WorkerRow& worker, const JobRow& job, const TaskName& task, const StepRow& row, Instant now) const
{
    const StepSpec& step = job.record.spec.steps[task.step];
    if (!step.requiredLabel.empty() && !PlacementSystem::hasLabel(worker, step.requiredLabel))
        return AbsenceReason::NoWorker;
    if (!PlacementSystem::canHost(worker, step))
        return AbsenceReason::NoRoom;
    if (step.perWorkerLimit && PlacementSystem::countSiblings(worker, task) >= step.perWorkerLimit)
        return AbsenceReason::PerWorkerLimit;
    if (!worker.isListed)
        return AbsenceReason::WorkerNotListed;
    if (!worker.isOnRoster)
        return AbsenceReason::WorkerNotOnRoster;
    if (!worker.isReached)
        return AbsenceReason::WorkerNotReached;
    if (worker.isSuspect)
        return AbsenceReason::WorkerUnresponsive;
    if (worker.isLeaving())
        return AbsenceReason::WorkerLeaving;
    if (!PlacementSystem::acceptsTasks(worker, now))
        return AbsenceReason::WorkerQuarantined;
    const QueuePolicy* queue = this->tables.policyOf(job);
    if (queue && queue->advice && !row.advice.ticketFor(worker.info.id, worker.info.incarnationUnixMs, now))
        return AbsenceReason::NoTicket;
    return AbsenceReason::NotPlaced;
}

void AbsenceMonitor::sortByRarity()
{
    std::map<AbsenceReason, std::size_t> counts;
    for (const auto& absence : this->absences)
        counts[absence.reason] += 1;
    std::sort(this->absences.begin(), this->absences.end(), [&counts](const auto& left, const auto& right) {
        return std::tuple(counts.at(left.reason), left.reason, left.since, left.task)
            < std::tuple(counts.at(right.reason), right.reason, right.since, right.task);
    });
}

} // namespace Greengage
