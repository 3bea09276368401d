#pragma once

#include <config/model/Team.h>
#include <fleet/placement/model/Resources.h>

#include <array>
#include <cstdint>
#include <map>
#include <set>

namespace Greengage {

/// A team with its waiting jobs and what it has running.
struct TeamEntry {
    Team team;
    /// Whether the document in force has it.
    bool isKnown = false;
    /// Waiting jobs by priority, each in order of arrival.
    std::array<std::map<std::uint64_t, JobId>, 3> waiting;
    /// Attempts that are not being ended.
    std::set<std::uint64_t> live;
    /// Attempts that may be running, those being ended among them. They count against the upper limit.
    int sent = 0;
    /// Reserved by the live attempts.
    Resources reserved;

    bool hasWaiting() const;
    bool isActive() const { return !this->live.empty() || this->hasWaiting(); }
};

} // namespace Greengage
