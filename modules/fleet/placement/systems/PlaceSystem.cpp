#include <fleet/placement/systems/JobPlacer.h>
#include <fleet/placement/systems/PlaceSystem.h>
#include <fleet/placement/systems/PlacementTables.h>

#include <algorithm>
#include <queue>
#include <sstream>

namespace Greengage {

namespace {

/// How many of a team's jobs are tried per tick when the first does not fit.
constexpr int maxTriesPerTeam = 4;

std::string describeMisfit(const Resources& size, const Resources& largest)
{
    std::ostringstream text;
    if (size.processors > largest.processors)
        text << "needs " << size.processors << " processors, the largest worker has " << largest.processors;
    else if (size.memoryGigabytes > largest.memoryGigabytes)
        text << "needs " << size.memoryGigabytes << " GB of memory, the largest worker has " << largest.memoryGigabytes;
    else
        text << "needs " << size.accelerators << " accelerators, the largest worker has " << largest.accelerators;
    return text.str();
}

/// Starts the first of the team's waiting jobs of a priority that can be placed.
bool placeFirst(PlacementTables& tables, JobPlacer& placer, TeamEntry& team, Priority priority)
{
    int tries = 0;
    for (const auto& [arrival, id] : team.waiting[static_cast<std::size_t>(priority)]) {
        auto& entry = tables.jobs.at(id);
        if (!placer.mayStart(team, tables.sizeOf(entry)) || ++tries > maxTriesPerTeam)
            return false;
        if (placer.place(entry))
            return true;
    }
    return false;
}

bool placeFirst(PlacementTables& tables, JobPlacer& placer, TeamEntry& team)
{
    return placeFirst(tables, placer, team, Priority::Urgent) || placeFirst(tables, placer, team, Priority::Normal)
        || placeFirst(tables, placer, team, Priority::Batch);
}

double relativeUsageOf(const PlacementTables& tables, const TeamEntry& team)
{
    return tables.teams.usageOf(team) / std::max(1e-9, tables.teams.shareOf(team));
}

/// Repeatedly places one job of the team that is furthest below its share, until no further job can be placed.
template <typename Place> void placeByShare(PlacementTables& tables, const Place& place)
{
    using RelativeUsage = std::pair<double, TeamEntry*>;
    auto isBehind = [](const RelativeUsage& left, const RelativeUsage& right) {
        if (left.first != right.first)
            return left.first > right.first;
        return left.second->team.name > right.second->team.name;
    };
    std::priority_queue<RelativeUsage, std::vector<RelativeUsage>, decltype(isBehind)> order(isBehind);
    for (auto& [id, team] : tables.teams.all()) {
        if (team.isKnown && team.hasWaitingJobs())
            order.push({ relativeUsageOf(tables, team), &team });
    }
    while (!order.empty()) {
        auto* team = order.top().second;
        order.pop();
        if (place(*team) && team->hasWaitingJobs())
            order.push({ relativeUsageOf(tables, *team), team });
    }
}

/// Places jobs in order of arrival across all teams. As with shares, a team waits for the next tick when it may not
/// start a job or several of its jobs could not be placed.
void placeByArrival(PlacementTables& tables, JobPlacer& placer)
{
    std::map<std::uint64_t, JobId> next;
    std::map<TeamId, int> failures;
    auto addNext = [&](TeamEntry& team, std::uint64_t after) {
        std::pair<std::uint64_t, JobId> first { 0, JobId() };
        for (const auto& queue : team.waiting) {
            auto candidate = queue.upper_bound(after);
            if (candidate != queue.end() && (first.first == 0 || candidate->first < first.first))
                first = *candidate;
        }
        if (first.first != 0)
            next.insert(first);
    };
    for (auto& [id, team] : tables.teams.all())
        addNext(team, 0);
    while (!next.empty()) {
        const auto [arrival, job] = *next.begin();
        next.erase(next.begin());
        auto& entry = tables.jobs.at(job);
        auto& team = tables.teams.entry(entry.job.team);
        if (!placer.mayStart(team, tables.sizeOf(entry)))
            continue;
        if (!placer.place(entry) && ++failures[entry.job.team] >= maxTriesPerTeam)
            continue;
        addNext(team, arrival);
    }
}

} // namespace

void refuseImpossibleJobs(PlacementTables& tables)
{
    const auto largest = tables.workers.largest();
    if (tables.workers.all().empty())
        return;
    std::vector<std::pair<JobId, std::string>> refused;
    std::vector<JobId> withoutTeam;
    for (auto& [id, team] : tables.teams.all()) {
        for (const auto& queue : team.waiting) {
            for (const auto& [arrival, job] : queue) {
                const auto size = tables.sizeOf(tables.jobs.at(job));
                if (!team.isKnown)
                    withoutTeam.push_back(job);
                else if (!size.fitsWithin(largest))
                    refused.emplace_back(job, describeMisfit(size, largest));
            }
        }
    }
    for (const auto& job : withoutTeam)
        tables.endJob(job, JobOutcome::UnknownTeam, "the team was removed from the document");
    for (const auto& [job, detail] : refused)
        tables.endJob(job, JobOutcome::NeverFits, detail);
}

void sendAwaiting(PlacementTables& tables)
{
    std::vector<std::uint64_t> withdrawn;
    const auto numbers = tables.awaiting;
    for (auto number : numbers) {
        auto& attempt = tables.attempts.at(number);
        const auto* worker = tables.workers.find(attempt.worker);
        const auto& team = tables.teams.entry(attempt.team);
        if (!worker->isListed || worker->record.isDraining || worker->health != WorkerHealth::Healthy)
            withdrawn.push_back(number);
        else if (attempt.reserved.fitsWithin(worker->record.capacity - worker->held)
            && team.sentCount < team.team.limit)
            tables.sendAttempt(attempt);
    }
    for (auto number : withdrawn)
        tables.withdrawAttempt(number);
}

void placeJobs(PlacementTables& tables)
{
    JobPlacer placer(tables);
    if (!tables.profile.ordersByShare) {
        placeByArrival(tables, placer);
        return;
    }
    placeByShare(tables, [&](TeamEntry& team) { return placeFirst(tables, placer, team, Priority::Urgent); });
    placeByShare(tables, [&](TeamEntry& team) { return placeFirst(tables, placer, team); });
}

} // namespace Greengage
