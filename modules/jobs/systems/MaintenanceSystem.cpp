#include <jobs/systems/MaintenanceSystem.h>

#include <jobs/model/MaintenanceWave.h>
#include <jobs/systems/PlacementSystem.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Greengage {

std::vector<VmId> MaintenanceSystem::advance(const MaintenanceWave& wave, const std::map<VmId, VmInfo>& vms,
    const std::map<VmId, Deadline>& mayBeDown, Instant now)
{
    this->endOtherDrains(wave, mayBeDown);
    struct Candidate {
        bool isDraining;
        std::size_t attempts;
        VmId vm;
        WorkerRow* worker;
    };
    std::size_t down = 0;
    std::unordered_map<PoolId, std::size_t> poolSize;
    std::unordered_map<PoolId, std::size_t> unavailableInPool;
    std::vector<Candidate> candidates;
    std::vector<VmId> unlisted;
    for (const auto& [id, info] : vms) {
        bool isUnavailable = info.state != VmPhase::Up || mayBeDown.contains(id);
        poolSize[info.pool] += 1;
        unavailableInPool[info.pool] += isUnavailable ? 1 : 0;
    }
    for (const auto& id : wave.vms) {
        auto info = vms.find(id);
        bool isListed = info != vms.end();
        if (mayBeDown.contains(id) || (isListed && info->second.state == VmPhase::InMaintenance)) {
            down += 1;
            continue;
        }
        if (!isListed && wave.unlisted.contains(id) && !wave.done.contains(id))
            unlisted.push_back(id);
        if (!isListed || info->second.state != VmPhase::Up)
            continue;
        WorkerRow* worker = this->tables.findWorker(info->second.worker);
        if (wave.done.contains(id)) {
            if (worker)
                this->endDrain(*worker);
            continue;
        }
        if (worker && (worker->isMoveOrdered || this->isDrainPaused(*worker, now)))
            continue;
        bool isDraining = worker && worker->isDrainOrdered;
        candidates.push_back({ isDraining, worker ? worker->attempts.size() : 0, id, worker });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tuple(!left.isDraining, left.attempts, left.vm)
            < std::tuple(!right.isDraining, right.attempts, right.vm);
    });
    std::vector<VmId> ready;
    std::size_t unavailable = down;
    bool isLate = wave.dueBy.remaining(now) < drainTimeout * 2;
    for (auto& candidate : candidates) {
        if (unavailable >= wave.maximum)
            break;
        const PoolId& pool = vms.at(candidate.vm).pool;
        std::size_t allowed = std::max<std::size_t>(1, poolSize[pool] / poolDivisor);
        if (!candidate.isDraining && !isLate && unavailableInPool[pool] >= allowed)
            continue;
        unavailableInPool[pool] += 1;
        unavailable += 1;
        if (candidate.worker) {
            candidate.worker->isDrainOrdered = true;
            const auto& drain
                = this->drains.try_emplace(candidate.worker->info.id, Drain { candidate.vm, now }).first->second;
            this->drain(*candidate.worker, drain, now);
            if (!candidate.worker->attempts.empty())
                continue;
        }
        ready.push_back(candidate.vm);
    }
    for (auto vm = unlisted.begin(); vm != unlisted.end() && unavailable < wave.maximum; ++vm) {
        unavailable += 1;
        ready.push_back(*vm);
    }
    this->limitDrains(now);
    return ready;
}

void MaintenanceSystem::endDrains()
{
    for (const auto& [id, drain] : this->drains) {
        if (auto* worker = this->tables.findWorker(id))
            worker->isDrainOrdered = false;
    }
    this->drains.clear();
}

void MaintenanceSystem::endOtherDrains(const MaintenanceWave& wave, const std::map<VmId, Deadline>& mayBeDown)
{
    std::erase_if(this->drains, [&](const auto& entry) {
        const VmId& vm = entry.second.vm;
        if (mayBeDown.contains(vm) || std::find(wave.vms.begin(), wave.vms.end(), vm) != wave.vms.end())
            return false;
        if (auto* worker = this->tables.findWorker(entry.first))
            worker->isDrainOrdered = false;
        return true;
    });
}

void MaintenanceSystem::endDrain(WorkerRow& worker)
{
    if (this->drains.erase(worker.info.id))
        worker.isDrainOrdered = false;
}

void MaintenanceSystem::drain(WorkerRow& worker, const Drain& drain, Instant now)
{
    bool isOverdue = now - drain.since >= (drain.isUrgent ? urgentDrainTimeout : drainTimeout);
    for (auto& [task, attempt] : worker.attempts) {
        if (attempt.phase != AttemptPhase::Running)
            continue;
        if (attempt.isLongRunning ? this->canStop(attempt) : isOverdue)
            attempt.phase = AttemptPhase::Stopping;
    }
}

void MaintenanceSystem::limitDrains(Instant now)
{
    this->givenUp.clear();
    auto earlier = std::exchange(this->waitingSince, {});
    for (const auto& [id, job] : this->tables.jobs) {
        if (job.hasEnded() || !job.record.spec.steps.front().longRunning)
            continue;
        TaskName name { id };
        for (name.occurrence = 0; name.occurrence < job.occurrences.size(); ++name.occurrence) {
            const auto& steps = job.occurrences[name.occurrence].steps;
            for (name.step = 0; name.step < steps.size(); ++name.step) {
                if (steps[name.step].readyAt && steps[name.step].waitingCount())
                    this->limitDrainsFor(job, name, steps[name.step], earlier, now);
            }
        }
    }
}

void MaintenanceSystem::limitDrainsFor(const JobRow& job, const TaskName& step, const StepRow& row,
    const std::map<TaskName, Instant>& earlierWaitingSince, Instant now)
{
    TaskName name = step;
    for (name.index = 0; name.index < row.tasks.size(); ++name.index) {
        if (row.tasks[name.index].phase != TaskPhase::Waiting)
            continue;
        auto found = earlierWaitingSince.find(name);
        Instant since = found == earlierWaitingSince.end() ? now : found->second;
        this->waitingSince.emplace(name, since);
        if (now - since >= longestWaitForDrain)
            this->limitDrainsFor(job, name, now);
    }
}

void MaintenanceSystem::limitDrainsFor(const JobRow& job, const TaskName& task, Instant now)
{
    const StepSpec& step = job.record.spec.steps[task.step];
    const QueuePolicy* queue = this->tables.policyOf(job);
    if (!queue || !this->tables.doesMaximumPermit(job, step))
        return;
    WorkerRow* blocked = nullptr;
    for (auto& [id, drain] : this->drains) {
        WorkerRow* worker = this->tables.findWorker(id);
        bool withholdsRoom = worker && worker->isDrainOrdered && worker->info.pool == queue->pool
            && PlacementSystem::canTake(*worker, step, task);
        if (!withholdsRoom)
            continue;
        drain.isUrgent = true;
        bool isBlocked = now - drain.since >= blockedDrainTimeout && this->isBlocked(*worker);
        if (isBlocked && (!blocked || worker->attempts.size() > blocked->attempts.size()))
            blocked = worker;
    }
    if (!blocked)
        return;
    this->drainPausedUntil[blocked->info.id] = Deadline::after(now, drainPause);
    this->givenUp.push_back(blocked->info.id);
    this->endDrain(*blocked);
}

bool MaintenanceSystem::isBlocked(const WorkerRow& worker) const
{
    return std::any_of(worker.attempts.begin(), worker.attempts.end(), [this](const auto& entry) {
        const Attempt& attempt = entry.second;
        return attempt.isLongRunning && attempt.phase == AttemptPhase::Running && !this->canStop(attempt);
    });
}

bool MaintenanceSystem::isDrainPaused(const WorkerRow& worker, Instant now) const
{
    auto found = this->drainPausedUntil.find(worker.info.id);
    return found != this->drainPausedUntil.end() && !found->second.hasPassed(now);
}

bool MaintenanceSystem::canStop(const Attempt& attempt) const
{
    const StepSpec* step = this->tables.findStep(attempt.task);
    if (!step || !step->maxUnavailableTasks)
        return true;
    const JobRow& job = this->tables.jobs.at(attempt.task.job);
    const auto& tasks = job.occurrences[attempt.task.occurrence].steps[attempt.task.step].tasks;
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (index == attempt.task.index)
            continue;
        TaskName name { attempt.task.job, attempt.task.occurrence, attempt.task.step, index };
        const WorkerRow* worker
            = tasks[index].phase == TaskPhase::Active ? this->tables.findWorker(tasks[index].worker) : nullptr;
        auto other = worker ? worker->attempts.find(name) : std::map<TaskName, Attempt>::const_iterator();
        bool isAvailable = worker && other != worker->attempts.end() && other->second.phase == AttemptPhase::Running
            && other->second.isAtFullSpeed && !worker->isSuspect;
        unavailable += isAvailable ? 0 : 1;
    }
    return unavailable < step->maxUnavailableTasks;
}

} // namespace Greengage
