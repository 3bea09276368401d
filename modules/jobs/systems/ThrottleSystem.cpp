#include <jobs/systems/ThrottleSystem.h>

#include <jobs/tables/JobTables.h>

#include <algorithm>

namespace Greengage {

void ThrottleSystem::advance(Instant now)
{
    for (auto& [id, worker] : this->tables.workers) {
        if (worker.bestEffortCount && worker.isReached)
            ThrottleSystem::updateSpeeds(worker, ThrottleSystem::worstLoadPercent(worker), now);
    }
}

int ThrottleSystem::worstLoadPercent(const WorkerRow& worker)
{
    constexpr int fullTargetPercent = 100;
    std::int64_t worst = 0;
    for (const auto& [task, attempt] : worker.attempts) {
        if (attempt.isLatencySensitive() && attempt.phase == AttemptPhase::Running)
            worst = std::max(worst, attempt.load * fullTargetPercent / attempt.tailTarget.count());
    }
    return static_cast<int>(worst);
}

void ThrottleSystem::updateSpeeds(WorkerRow& worker, int worstLoadPercent, Instant now)
{
    constexpr int fullTargetPercent = 100;
    for (auto& [task, attempt] : worker.attempts) {
        if (!attempt.isBestEffort || attempt.phase != AttemptPhase::Running)
            continue;
        int wanted = attempt.wantedSpeedPercent;
        if (worstLoadPercent > fullTargetPercent)
            wanted = 0;
        else if (!attempt.nextSpeedChange.hasPassed(now))
            continue;
        else if (worstLoadPercent > throttleAbovePercent)
            wanted = std::max(0, wanted - speedStepPercent);
        else if (worstLoadPercent < recoverBelowPercent)
            wanted = std::min(fullSpeedPercent, wanted + speedStepPercent);
        if (wanted == attempt.wantedSpeedPercent)
            continue;
        attempt.wantedSpeedPercent = wanted;
        attempt.nextSpeedChange = Deadline::after(now, settlingTime);
    }
}

} // namespace Greengage
