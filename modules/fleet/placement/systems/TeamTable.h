#pragma once

#include <core/text/Identifier.h>
#include <fleet/placement/systems/TeamEntry.h>

#include <map>
#include <vector>

namespace Greengage {

struct Attempt;

/// All teams, with how far each is from its share.
class TeamTable {
public:
    void apply(const std::vector<Team>&);
    TeamEntry& entry(const TeamId&);
    /// Whether the document in force has the team.
    bool isKnown(const TeamId&) const;
    std::map<TeamId, TeamEntry>& all() { return this->entries; }

    /// Works out each team's share of the whole. With borrowing only the teams that have work count; call once a tick.
    void refreshShares(const Resources& total, bool borrows);

    /// The part of the whole that the team is entitled to.
    double shareOf(const TeamEntry&) const;
    /// The part of the whole that it has reserved.
    double usageOf(const TeamEntry& entry) const { return entry.reserved.dominantShareOf(this->total); }
    double usageWith(const TeamEntry&, const Resources& more) const;
    /// The part of the whole that all teams have reserved.
    double usageOfAllWith(const Resources& more) const { return (this->reserved + more).dominantShareOf(this->total); }

    /// Counts an attempt in or out.
    void add(const Attempt&);
    void remove(const Attempt&);

private:
    std::map<TeamId, TeamEntry> entries;
    Resources total;
    Resources reserved;
    double weightSum = 0;
};

} // namespace Greengage
