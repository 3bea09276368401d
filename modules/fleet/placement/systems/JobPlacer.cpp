#include <fleet/placement/systems/JobPlacer.h>
#include <fleet/placement/systems/PlacementTables.h>

#include <algorithm>

namespace Greengage {

bool JobPlacer::mayStart(const TeamEntry& team, const Resources& size) const
{
    if (team.sentCount >= team.team.limit || team.live.size() >= static_cast<std::size_t>(team.team.limit))
        return false;
    const auto& teams = this->tables.teams;
    if (teams.usageWith(team, size) <= teams.shareOf(team))
        return true;
    return this->tables.profile.borrows && teams.usageOfAllWith(size) <= 1.0 - this->tables.profile.headroom;
}

bool JobPlacer::accepts(const WorkerEntry& worker, const JobEntry& entry)
{
    if (worker.health == WorkerHealth::Probing && !entry.job.idempotent)
        return false;
    return entry.failedWorkers.count(worker.record.id) == 0;
}

bool JobPlacer::place(JobEntry& entry)
{
    const auto size = this->tables.sizeOf(entry);
    auto failedBefore = [&](const Resources& failed) { return failed.fitsWithin(size); };
    const bool isUnrestricted = entry.failedWorkers.empty() && entry.job.idempotent;
    if (std::any_of(this->unplaceable.begin(), this->unplaceable.end(), failedBefore))
        return false;
    auto* worker = this->tables.workers.findFit(size, this->tables.profile.packsTightly,
        [&](const WorkerEntry& candidate) { return accepts(candidate, entry); });
    if (!worker) {
        if (isUnrestricted) {
            // A larger size need not be remembered when a smaller one has failed.
            std::erase_if(this->unplaceable, [&](const Resources& failed) { return size.fitsWithin(failed); });
            this->unplaceable.push_back(size);
        }
        return false;
    }
    this->tables.createAttempt(entry, worker->record.id, size, false);
    return true;
}

} // namespace Greengage
