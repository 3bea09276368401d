#include <jobs/systems/PacingSystem.h>

#include <jobs/board/JobBoard.h>

#include <algorithm>

namespace Greengage {

void PacingSystem::advance(Instant now)
{
    for (auto& [id, worker] : this->board.workers) {
        if (worker.fillingCount && worker.isReached)
            PacingSystem::setPace(worker, PacingSystem::tension(worker), now);
    }
}

int PacingSystem::tension(const WorkerRow& worker)
{
    constexpr int wholeTarget = 100;
    std::int64_t worst = 0;
    for (const auto& [task, attempt] : worker.attempts) {
        if (attempt.serves() && attempt.phase == AttemptPhase::Running)
            worst = std::max(worst, attempt.load * wholeTarget / attempt.tailTarget.count());
    }
    return static_cast<int>(worst);
}

void PacingSystem::setPace(WorkerRow& worker, int tension, Instant now)
{
    constexpr int wholeTarget = 100;
    for (auto& [task, attempt] : worker.attempts) {
        if (!attempt.fills || attempt.phase != AttemptPhase::Running)
            continue;
        int wanted = attempt.wantedPace;
        if (tension > wholeTarget)
            wanted = 0;
        else if (!attempt.paceSettled.hasPassed(now))
            continue;
        else if (tension > tensePercent)
            wanted = std::max(0, wanted - step);
        else if (tension < calmPercent)
            wanted = std::min(wholeSpeed, wanted + step);
        if (wanted == attempt.wantedPace)
            continue;
        attempt.wantedPace = wanted;
        attempt.paceSettled = Deadline::after(now, settlesWithin);
    }
}

} // namespace Greengage
