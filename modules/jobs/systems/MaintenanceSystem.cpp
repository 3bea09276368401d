#include <jobs/systems/MaintenanceSystem.h>

#include <jobs/model/MaintenanceWave.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <tuple>

namespace Greengage {

std::vector<VmId> MaintenanceSystem::advance(const MaintenanceWave& wave, const std::map<VmId, VmInfo>& machines,
    const std::map<VmId, Deadline>& mayBeDown, Instant now)
{
    struct Candidate {
        bool isDraining;
        std::size_t attempts;
        VmId machine;
        WorkerRow* worker;
    };
    std::size_t down = 0;
    std::unordered_map<PoolId, std::size_t> poolSize;
    std::unordered_map<PoolId, std::size_t> unavailableInPool;
    std::vector<Candidate> candidates;
    for (const auto& [id, facts] : machines) {
        bool isUnavailable = facts.state != VmPhase::Up || mayBeDown.contains(id);
        poolSize[facts.pool] += 1;
        unavailableInPool[facts.pool] += isUnavailable ? 1 : 0;
    }
    for (const auto& id : wave.machines) {
        auto facts = machines.find(id);
        if (facts == machines.end())
            continue;
        if (facts->second.state == VmPhase::InUpkeep || mayBeDown.contains(id)) {
            down += 1;
            continue;
        }
        if (wave.done.contains(id) || facts->second.state != VmPhase::Up)
            continue;
        WorkerRow* worker = this->board.findWorker(facts->second.worker);
        bool isDraining = worker && worker->isEvacuating;
        candidates.push_back({ isDraining, worker ? worker->attempts.size() : 0, id, worker });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tuple(!left.isDraining, left.attempts, left.machine)
            < std::tuple(!right.isDraining, right.attempts, right.machine);
    });
    std::vector<VmId> ready;
    std::size_t unavailable = down;
    bool isLate = wave.dueBy.remaining(now) < drainTimeout * 2;
    for (auto& candidate : candidates) {
        if (unavailable >= wave.maximum)
            break;
        const PoolId& pool = machines.at(candidate.machine).pool;
        std::size_t allowed = std::max<std::size_t>(1, poolSize[pool] / poolDivisor);
        if (!candidate.isDraining && !isLate && unavailableInPool[pool] >= allowed)
            continue;
        unavailableInPool[pool] += 1;
        unavailable += 1;
        if (candidate.worker) {
            candidate.worker->isEvacuating = true;
            Instant since = this->drainStartedAt.try_emplace(candidate.worker->facts.id, now).first->second;
            this->drain(*candidate.worker, since, now);
            if (!candidate.worker->attempts.empty())
                continue;
        }
        ready.push_back(candidate.machine);
    }
    return ready;
}

void MaintenanceSystem::release()
{
    for (const auto& [id, since] : this->drainStartedAt) {
        if (auto* worker = this->board.findWorker(id))
            worker->isEvacuating = false;
    }
    this->drainStartedAt.clear();
}

void MaintenanceSystem::drain(WorkerRow& worker, Instant since, Instant now)
{
    bool isOverdue = now - since >= drainTimeout;
    for (auto& [task, attempt] : worker.attempts) {
        if (attempt.phase != AttemptPhase::Running)
            continue;
        if (attempt.isLongRunning ? this->canStop(attempt) : isOverdue)
            attempt.phase = AttemptPhase::Stopping;
    }
}

bool MaintenanceSystem::canStop(const Attempt& attempt) const
{
    const StepSpec* step = this->board.findStep(attempt.task);
    if (!step || !step->mayMiss)
        return true;
    const JobRow& job = this->board.jobs.at(attempt.task.job);
    const auto& tasks = job.occurrences[attempt.task.occurrence].steps[attempt.task.step].tasks;
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (index == attempt.task.index)
            continue;
        TaskName name { attempt.task.job, attempt.task.occurrence, attempt.task.step, index };
        const WorkerRow* worker
            = tasks[index].phase == TaskPhase::Active ? this->board.findWorker(tasks[index].worker) : nullptr;
        auto other = worker ? worker->attempts.find(name) : std::map<TaskName, Attempt>::const_iterator();
        bool isAvailable = worker && other != worker->attempts.end() && other->second.phase == AttemptPhase::Running
            && other->second.isAtFullSpeed && !worker->isSuspect;
        unavailable += isAvailable ? 0 : 1;
    }
    return unavailable < step->mayMiss;
}

} // namespace Greengage
