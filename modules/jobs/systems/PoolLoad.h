#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/Demand.h>

#include <cstdint>
#include <map>

namespace Greengage {

class JobBoard;

/// What a pool has, what is taken of it, and what waits for it.
struct PoolLoad {
    std::size_t workers = 0;
    Demand capacity;
    Demand occupied;
    /// The part of the occupied processor time that lasting tasks hold.
    std::int64_t lastingCpuMillis = 0;
    /// Of tasks whose turn has come.
    Demand waiting;
    std::size_t waitingTasks = 0;
    /// The most workers that any one step needs because only so many of its tasks may share one.
    std::uint32_t hostsNeeded = 0;

    static std::map<PoolId, PoolLoad> measure(const JobBoard&, std::int64_t nowUnixMs);
};

} // namespace Greengage
