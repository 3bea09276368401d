#pragma once

#include <core/text/Identifier.h>
#include <fleet/placement/systems/TeamEntry.h>

#include <map>
#include <vector>

namespace Greengage {

struct Attempt;

/// All teams with their shares and usage.
class TeamTable {
public:
    void apply(const std::vector<Team>&);
    TeamEntry& entry(const TeamId&);
    /// Whether the current document contains the team.
    bool isKnown(const TeamId&) const;
    std::map<TeamId, TeamEntry>& all() { return this->entries; }

    /// Computes each team's share of the total. With borrowing, only teams that have work count; call it once per tick.
    void refreshShares(const Resources& total, bool borrows);

    /// The fraction of the total that the team is entitled to.
    double shareOf(const TeamEntry&) const;
    /// The fraction of the total that the team has reserved.
    double usageOf(const TeamEntry& entry) const { return entry.reserved.dominantShareOf(this->total); }
    double usageWith(const TeamEntry&, const Resources& more) const;
    /// The fraction of the total that all teams would have reserved with a further amount.
    double usageOfAllWith(const Resources& more) const { return (this->reserved + more).dominantShareOf(this->total); }

    /// Adds or removes an attempt.
    void add(const Attempt&);
    void remove(const Attempt&);

private:
    std::map<TeamId, TeamEntry> entries;
    Resources total;
    Resources reserved;
    double weightSum = 0;
};

} // namespace Greengage
