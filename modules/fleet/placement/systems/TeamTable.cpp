#include <fleet/placement/model/Attempt.h>
#include <fleet/placement/systems/TeamTable.h>

#include <algorithm>

namespace Greengage {

bool TeamEntry::hasWaitingJobs() const
{
    return std::any_of(this->waiting.begin(), this->waiting.end(), [](const auto& queue) { return !queue.empty(); });
}

void TeamTable::apply(const std::vector<Team>& teams)
{
    for (auto& [id, entry] : this->entries)
        entry.isKnown = false;
    for (const auto& team : teams) {
        auto& entry = this->entries[team.name];
        entry.team = team;
        entry.isKnown = true;
    }
}

TeamEntry& TeamTable::entry(const TeamId& id) { return this->entries[id]; }

bool TeamTable::isKnown(const TeamId& id) const
{
    auto found = this->entries.find(id);
    return found != this->entries.end() && found->second.isKnown;
}

void TeamTable::refreshShares(const Resources& total, bool borrows)
{
    this->total = total;
    this->weightSum = 0;
    this->reserved = {};
    for (const auto& [id, entry] : this->entries) {
        this->reserved = this->reserved + entry.reserved;
        if (entry.isKnown && (!borrows || entry.isActive()))
            this->weightSum += entry.team.share;
    }
}

double TeamTable::shareOf(const TeamEntry& entry) const
{
    if (!entry.isKnown || this->weightSum <= 0)
        return 0;
    return entry.team.share / this->weightSum;
}

double TeamTable::usageWith(const TeamEntry& entry, const Resources& more) const
{
    return (entry.reserved + more).dominantShareOf(this->total);
}

void TeamTable::add(const Attempt& attempt)
{
    auto& entry = this->entry(attempt.team);
    if (attempt.phase != AttemptPhase::Awaiting)
        entry.sentCount++;
    if (attempt.phase == AttemptPhase::Ending)
        return;
    entry.live.insert(attempt.number);
    entry.reserved = entry.reserved + attempt.reserved;
    this->reserved = this->reserved + attempt.reserved;
}

void TeamTable::remove(const Attempt& attempt)
{
    auto& entry = this->entry(attempt.team);
    if (attempt.phase != AttemptPhase::Awaiting)
        entry.sentCount--;
    if (attempt.phase == AttemptPhase::Ending)
        return;
    entry.live.erase(attempt.number);
    this->reserved = this->reserved - attempt.reserved;
    entry.reserved = entry.live.empty() ? Resources {} : entry.reserved - attempt.reserved;
}

} // namespace Greengage
