#include <fleet/placement/systems/JobPlacer.h>
#include <fleet/placement/systems/PlacementTables.h>
#include <fleet/placement/systems/PreemptSystem.h>

#include <algorithm>
#include <functional>
#include <optional>

namespace Greengage {

namespace {

constexpr int maxUrgentPreemptionsPerTick = 32;
constexpr int maxSharePreemptionsPerTick = 8;
constexpr int maxVictimsExamined = 32;

using IsVictim = std::function<bool(const Attempt&, const Job&)>;

/// The tasks to checkpoint on one worker so that a job fits there.
struct Preemption {
    WorkerId worker;
    std::vector<std::uint64_t> victims;
};

/// Whether the task is running and can be stopped without losing its work.
bool isStoppable(const PlacementTables& tables, const Attempt& attempt, const IsVictim& isVictim)
{
    if (attempt.phase != AttemptPhase::Running)
        return false;
    auto job = tables.jobs.find(attempt.job);
    return job != tables.jobs.end() && job->second.job.canCheckpoint && isVictim(attempt, job->second.job);
}

std::optional<Preemption> planPreemptionOn(
    const PlacementTables& tables, const WorkerEntry& worker, const Resources& size, const IsVictim& isVictim)
{
    Preemption plan { worker.record.id, {} };
    auto free = worker.free();
    // The newest tasks are preempted first: they have the least work to save.
    for (auto number = worker.attempts.rbegin(); number != worker.attempts.rend(); ++number) {
        const auto& attempt = tables.attempts.at(*number);
        if (!isStoppable(tables, attempt, isVictim))
            continue;
        plan.victims.push_back(attempt.number);
        free = free + attempt.reserved;
        if (size.fitsWithin(free))
            return plan;
    }
    return std::nullopt;
}

bool isEligible(const WorkerEntry& worker, const JobEntry& entry)
{
    return worker.isUsable() && JobPlacer::accepts(worker, entry);
}

/// The plan with the fewest victims over all workers; ties go to the first worker by name.
std::optional<Preemption> findPlan(
    PlacementTables& tables, const JobEntry& entry, const Resources& size, const IsVictim& isVictim)
{
    std::optional<Preemption> best;
    for (const auto& id : tables.workers.usable()) {
        const auto& worker = *tables.workers.find(id);
        if (!isEligible(worker, entry))
            continue;
        auto plan = planPreemptionOn(tables, worker, size, isVictim);
        if (!plan || (best && plan->victims.size() >= best->victims.size()))
            continue;
        best = std::move(plan);
        if (best->victims.size() == 1)
            break;
    }
    return best;
}

/// A plan on a worker that runs one of the newest tasks of a team above its share.
std::optional<Preemption> findPlanAgainstTeam(PlacementTables& tables, const TeamEntry& owner, const JobEntry& entry,
    const Resources& size, const IsVictim& isVictim)
{
    int examined = 0;
    for (auto number = owner.live.rbegin(); number != owner.live.rend() && examined < maxVictimsExamined; ++number) {
        const auto& attempt = tables.attempts.at(*number);
        if (!isStoppable(tables, attempt, isVictim))
            continue;
        examined++;
        const auto& worker = *tables.workers.find(attempt.worker);
        if (!isEligible(worker, entry))
            continue;
        if (auto plan = planPreemptionOn(tables, worker, size, isVictim))
            return plan;
    }
    return std::nullopt;
}

void applyPreemption(PlacementTables& tables, JobEntry& entry, const Resources& size, const Preemption& plan)
{
    for (auto number : plan.victims)
        tables.stopAttempt(tables.attempts.at(number), true);
    tables.createAttempt(entry, plan.worker, size, true);
}

bool isWithinLimit(const TeamEntry& team) { return team.live.size() < static_cast<std::size_t>(team.team.limit); }

/// Frees capacity for one urgent job. A team at its upper limit preempts only its own tasks.
bool preemptFor(PlacementTables& tables, TeamEntry& team, JobEntry& entry)
{
    const auto size = tables.sizeOf(entry);
    const bool mustPreemptOwnTasks = !isWithinLimit(team) || team.sentCount >= team.team.limit;
    auto isVictim = [&](const Attempt& attempt, const Job& job) {
        return job.priority != Priority::Urgent && (!mustPreemptOwnTasks || attempt.team == team.team.name);
    };
    auto isBatchVictim = [&](const Attempt& attempt, const Job& job) {
        return job.priority == Priority::Batch && isVictim(attempt, job);
    };
    auto plan = findPlan(tables, entry, size, isBatchVictim);
    if (!plan)
        plan = findPlan(tables, entry, size, isVictim);
    if (plan)
        applyPreemption(tables, entry, size, *plan);
    return plan.has_value();
}

/// The team's first waiting job in the most urgent queue that is not empty.
JobEntry* firstWaiting(PlacementTables& tables, TeamEntry& team)
{
    for (auto& queue : team.waiting) {
        if (!queue.empty())
            return &tables.jobs.at(queue.begin()->second);
    }
    return nullptr;
}

/// The teams that exceed their shares by more than the tolerance, in descending order of excess.
std::vector<TeamEntry*> teamsAboveShare(PlacementTables& tables)
{
    std::vector<std::pair<double, TeamEntry*>> above;
    for (auto& [id, team] : tables.teams.all()) {
        const double excess = tables.teams.usageOf(team) - tables.teams.shareOf(team);
        if (excess > tables.profile.shareTolerance)
            above.emplace_back(-excess, &team);
    }
    std::sort(above.begin(), above.end());
    std::vector<TeamEntry*> teams;
    for (const auto& [excess, team] : above)
        teams.push_back(team);
    return teams;
}

bool preemptForTeam(PlacementTables& tables, TeamEntry& team)
{
    auto* entry = firstWaiting(tables, team);
    if (!entry || !isWithinLimit(team) || team.sentCount >= team.team.limit)
        return false;
    const auto size = tables.sizeOf(*entry);
    auto& teams = tables.teams;
    if (teams.usageWith(team, size) > teams.shareOf(team))
        return false;
    for (const auto* owner : teamsAboveShare(tables)) {
        auto isVictim = [&](const Attempt& attempt, const Job& job) {
            return job.priority != Priority::Urgent && attempt.team == owner->team.name;
        };
        auto plan = findPlanAgainstTeam(tables, *owner, *entry, size, isVictim);
        if (!plan)
            continue;
        applyPreemption(tables, *entry, size, *plan);
        return true;
    }
    return false;
}

} // namespace

void preemptForUrgent(PlacementTables& tables)
{
    int left = maxUrgentPreemptionsPerTick;
    std::vector<Resources> unplaceable;
    for (auto& [id, team] : tables.teams.all()) {
        const auto urgent = team.waiting[static_cast<std::size_t>(Priority::Urgent)];
        for (const auto& [arrival, job] : urgent) {
            auto& entry = tables.jobs.at(job);
            const auto size = tables.sizeOf(entry);
            auto failedBefore = [&](const Resources& failed) { return failed.fitsWithin(size); };
            if (!team.isKnown || left <= 0 || std::any_of(unplaceable.begin(), unplaceable.end(), failedBefore))
                break;
            left--;
            if (preemptFor(tables, team, entry))
                continue;
            const bool isUnrestricted = isWithinLimit(team) && entry.failedWorkers.empty() && entry.job.idempotent;
            if (isUnrestricted)
                unplaceable.push_back(size);
            break;
        }
    }
}

void preemptForShares(PlacementTables& tables)
{
    std::vector<std::pair<double, TeamEntry*>> below;
    for (auto& [id, team] : tables.teams.all()) {
        auto distance = tables.teams.shareOf(team) - tables.teams.usageOf(team);
        if (team.isKnown && team.hasWaitingJobs() && distance > 0)
            below.emplace_back(-distance, &team);
    }
    std::sort(below.begin(), below.end());
    int left = maxSharePreemptionsPerTick;
    for (auto& [distance, team] : below) {
        while (left-- > 0 && preemptForTeam(tables, *team)) { }
    }
}

void drainWorkers(PlacementTables& tables)
{
    for (auto& [id, worker] : tables.workers.all()) {
        if (!worker.record.isDraining)
            continue;
        const auto numbers = worker.attempts;
        for (auto number : numbers) {
            auto& attempt = tables.attempts.at(number);
            if (!isStoppable(tables, attempt, [](const Attempt&, const Job&) { return true; }))
                continue;
            const auto& entry = tables.jobs.at(attempt.job);
            auto expectedEnd = attempt.startedAt + SizeLearner::expectedRunTime(*entry.history, entry.job);
            const bool endsSoon
                = expectedEnd >= tables.now && expectedEnd <= tables.now + tables.profile.finishOnDrainWithin;
            if (!endsSoon)
                tables.stopAttempt(attempt, true);
        }
    }
}

} // namespace Greengage
