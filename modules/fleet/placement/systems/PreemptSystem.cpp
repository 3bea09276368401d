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

using IsVictim = std::function<bool(const Attempt&, const Job&)>;

/// Tasks to checkpoint on one worker so that a job fits there.
struct Preemption {
    WorkerId worker;
    std::vector<std::uint64_t> victims;
};

/// Whether the task was begun and can be stopped without losing its work.
bool isStoppable(const PlacementTables& tables, const Attempt& attempt, const IsVictim& isVictim)
{
    if (attempt.phase != AttemptPhase::Running)
        return false;
    auto job = tables.jobs.find(attempt.job);
    return job != tables.jobs.end() && job->second.job.canCheckpoint && isVictim(attempt, job->second.job);
}

std::optional<Preemption> planOn(
    const PlacementTables& tables, const WorkerEntry& worker, const Resources& size, const IsVictim& isVictim)
{
    Preemption plan { worker.record.id, {} };
    auto free = worker.free();
    // The newest go first: they have the least work to save.
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

/// The plan with the fewest victims over all workers.
std::optional<Preemption> findPlan(
    PlacementTables& tables, const JobEntry& entry, const Resources& size, const IsVictim& isVictim)
{
    std::optional<Preemption> best;
    for (const auto& [id, worker] : tables.workers.all()) {
        if (!worker.isUsable() || !JobPlacer::accepts(worker, entry))
            continue;
        auto plan = planOn(tables, worker, size, isVictim);
        if (!plan)
            continue;
        const bool isBetter = !best || plan->victims.size() < best->victims.size()
            || (plan->victims.size() == best->victims.size() && plan->worker < best->worker);
        if (isBetter)
            best = std::move(plan);
    }
    return best;
}

void carryOut(PlacementTables& tables, JobEntry& entry, const Resources& size, const Preemption& plan)
{
    for (auto number : plan.victims)
        tables.stop(tables.attempts.at(number), true);
    tables.begin(entry, plan.worker, size, true);
}

bool isWithinLimit(const TeamEntry& team) { return team.live.size() < static_cast<std::size_t>(team.team.limit); }

/// Frees space for one urgent job. A team at its upper limit makes room among its own tasks.
bool preemptFor(PlacementTables& tables, TeamEntry& team, JobEntry& entry)
{
    const auto size = tables.sizeOf(entry);
    const bool mustBeOwn = !isWithinLimit(team) || team.sent >= team.team.limit;
    auto isVictim = [&](const Attempt& attempt, const Job& job) {
        return job.priority != Priority::Urgent && (!mustBeOwn || attempt.team == team.team.name);
    };
    auto isBatchVictim = [&](const Attempt& attempt, const Job& job) {
        return job.priority == Priority::Batch && isVictim(attempt, job);
    };
    auto plan = findPlan(tables, entry, size, isBatchVictim);
    if (!plan)
        plan = findPlan(tables, entry, size, isVictim);
    if (plan)
        carryOut(tables, entry, size, *plan);
    return plan.has_value();
}

/// The first waiting job of the team, the most urgent first.
JobEntry* firstWaiting(PlacementTables& tables, TeamEntry& team)
{
    for (auto& queue : team.waiting) {
        if (!queue.empty())
            return &tables.jobs.at(queue.begin()->second);
    }
    return nullptr;
}

bool preemptForTeam(PlacementTables& tables, TeamEntry& team)
{
    auto* entry = firstWaiting(tables, team);
    if (!entry || !isWithinLimit(team) || team.sent >= team.team.limit)
        return false;
    const auto size = tables.sizeOf(*entry);
    auto& teams = tables.teams;
    const double tolerance = tables.profile.shareTolerance;
    if (teams.usageWith(team, size) > teams.shareOf(team))
        return false;
    auto isVictim = [&](const Attempt& attempt, const Job& job) {
        const auto& owner = teams.entry(attempt.team);
        return job.priority != Priority::Urgent && teams.usageOf(owner) > teams.shareOf(owner) + tolerance;
    };
    auto plan = findPlan(tables, *entry, size, isVictim);
    if (plan)
        carryOut(tables, *entry, size, *plan);
    return plan.has_value();
}

} // namespace

void preemptForUrgent(PlacementTables& tables)
{
    int left = maxUrgentPreemptionsPerTick;
    for (auto& [id, team] : tables.teams.all()) {
        const auto urgent = team.waiting[static_cast<std::size_t>(Priority::Urgent)];
        for (const auto& [arrival, job] : urgent) {
            if (!team.isKnown || left-- <= 0)
                break;
            if (!preemptFor(tables, team, tables.jobs.at(job)))
                break;
        }
    }
}

void preemptForShares(PlacementTables& tables)
{
    std::vector<std::pair<double, TeamEntry*>> below;
    for (auto& [id, team] : tables.teams.all()) {
        auto distance = tables.teams.shareOf(team) - tables.teams.usageOf(team);
        if (team.isKnown && team.hasWaiting() && distance > 0)
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
            auto expectedEnd = attempt.startedAt + tables.learner.expectedRunTime(tables.jobs.at(attempt.job).job);
            const bool endsSoon
                = expectedEnd >= tables.now && expectedEnd <= tables.now + tables.profile.finishOnDrainWithin;
            if (!endsSoon)
                tables.stop(attempt, true);
        }
    }
}

} // namespace Greengage
