#pragma once

#include <config/model/Team.h>
#include <fleet/placement/model/Resources.h>

#include <array>
#include <cstdint>
#include <map>
#include <set>

namespace Greengage {

/// A team with its waiting jobs and its attempts.
struct TeamEntry {
    Team team;
    /// Whether the current document contains the team.
    bool isKnown = false;
    /// Waiting jobs by priority, each in order of arrival.
    std::array<std::map<std::uint64_t, JobId>, 3> waiting;
    /// Attempts that are not being ended.
    std::set<std::uint64_t> live;
    /// Number of attempts that may be running, including those being ended. They count against the upper limit.
    int sentCount = 0;
    /// Resources reserved by the live attempts.
    Resources reserved;

    bool hasWaitingJobs() const;
    bool isActive() const { return !this->live.empty() || this->hasWaitingJobs(); }
};

} // namespace Greengage
