#include <jobs/systems/UpkeepSystem.h>

#include <jobs/board/JobBoard.h>
#include <jobs/model/UpkeepWave.h>

#include <algorithm>
#include <tuple>

namespace Greengage {

std::vector<VmId> UpkeepSystem::advance(const UpkeepWave& wave, const std::map<VmId, MachineFacts>& machines,
    const std::map<VmId, Deadline>& mayBeDown, Instant now)
{
    struct Candidate {
        bool isBeingEmptied;
        std::size_t attempts;
        VmId machine;
        WorkerRow* worker;
    };
    std::size_t down = 0;
    std::unordered_map<PoolId, std::size_t> poolSize;
    std::unordered_map<PoolId, std::size_t> poolOut;
    std::vector<Candidate> candidates;
    for (const auto& [id, facts] : machines) {
        bool isOut = facts.state != MachineState::Up || mayBeDown.contains(id);
        poolSize[facts.pool] += 1;
        poolOut[facts.pool] += isOut ? 1 : 0;
    }
    for (const auto& id : wave.machines) {
        auto facts = machines.find(id);
        if (facts == machines.end())
            continue;
        if (facts->second.state == MachineState::InUpkeep || mayBeDown.contains(id)) {
            down += 1;
            continue;
        }
        if (wave.done.contains(id) || facts->second.state != MachineState::Up)
            continue;
        WorkerRow* worker = this->board.findWorker(facts->second.worker);
        bool isBeingEmptied = worker && worker->isEvacuating;
        candidates.push_back({ isBeingEmptied, worker ? worker->attempts.size() : 0, id, worker });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tuple(!left.isBeingEmptied, left.attempts, left.machine)
            < std::tuple(!right.isBeingEmptied, right.attempts, right.machine);
    });
    std::vector<VmId> ready;
    std::size_t out = down;
    bool isLate = wave.dueBy.remaining(now) < patience * 2;
    for (auto& candidate : candidates) {
        if (out >= wave.maximum)
            break;
        const PoolId& pool = machines.at(candidate.machine).pool;
        std::size_t allowed = std::max<std::size_t>(1, poolSize[pool] / poolPart);
        if (!candidate.isBeingEmptied && !isLate && poolOut[pool] >= allowed)
            continue;
        poolOut[pool] += 1;
        out += 1;
        if (candidate.worker) {
            candidate.worker->isEvacuating = true;
            Instant since = this->emptiedSince.try_emplace(candidate.worker->facts.id, now).first->second;
            this->empty(*candidate.worker, since, now);
            if (!candidate.worker->attempts.empty())
                continue;
        }
        ready.push_back(candidate.machine);
    }
    return ready;
}

void UpkeepSystem::release()
{
    for (const auto& [id, since] : this->emptiedSince) {
        if (auto* worker = this->board.findWorker(id))
            worker->isEvacuating = false;
    }
    this->emptiedSince.clear();
}

void UpkeepSystem::empty(WorkerRow& worker, Instant since, Instant now)
{
    bool isOverdue = now - since >= patience;
    for (auto& [task, attempt] : worker.attempts) {
        if (attempt.phase != AttemptPhase::Running)
            continue;
        if (attempt.lasts ? this->mayStop(attempt) : isOverdue)
            attempt.phase = AttemptPhase::Stopping;
    }
}

bool UpkeepSystem::mayStop(const Attempt& attempt) const
{
    const StepSpec* step = this->board.findStep(attempt.task);
    if (!step || !step->mayMiss)
        return true;
    const JobRow& job = this->board.jobs.at(attempt.task.job);
    const auto& tasks = job.occurrences[attempt.task.occurrence].steps[attempt.task.step].tasks;
    std::uint32_t away = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (index == attempt.task.index)
            continue;
        TaskName name { attempt.task.job, attempt.task.occurrence, attempt.task.step, index };
        const WorkerRow* worker
            = tasks[index].phase == TaskPhase::Active ? this->board.findWorker(tasks[index].worker) : nullptr;
        auto other = worker ? worker->attempts.find(name) : std::map<TaskName, Attempt>::const_iterator();
        bool isAtWork = worker && other != worker->attempts.end() && other->second.phase == AttemptPhase::Running
            && other->second.isAtWork && !worker->isSuspect;
        away += isAtWork ? 0 : 1;
    }
    return away < step->mayMiss;
}

} // namespace Greengage
