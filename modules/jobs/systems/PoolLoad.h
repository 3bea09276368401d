#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/ResourceAmount.h>

#include <cstdint>
#include <map>

namespace Greengage {

class JobTables;

/// The capacity of a pool, the part of it that is occupied, and the demand of waiting tasks.
struct PoolLoad {
    std::size_t workers = 0;
    ResourceAmount capacity;
    ResourceAmount occupied;
    /// What long-running tasks occupy.
    ResourceAmount longRunning;
    /// The total demand of waiting tasks that are ready to start.
    ResourceAmount waiting;
    std::size_t waitingTasks = 0;
    /// The part of it that only another worker could take, since the free capacity is spread over many workers.
    ResourceAmount unplaceable;
    /// The number of workers that one step needs for this part at least, because of its limit of tasks per worker.
    std::uint32_t additionalWorkers = 0;
    /// The largest number of workers that a step needs because of its limit of tasks per worker.
    std::uint32_t minimumWorkers = 0;

    static std::map<PoolId, PoolLoad> measure(const JobTables&, std::int64_t nowUnixMs);
};

} // namespace Greengage
