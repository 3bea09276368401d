#pragma once

#include <core/time/Instant.h>
#include <fleet/placement/model/Job.h>

#include <cstdint>
#include <set>
#include <vector>

namespace Greengage {

struct KindHistory;

/// A job that has not ended.
struct JobEntry {
    Job job;
    /// Observed sizes and run times of jobs of the same team and kind.
    KindHistory* history = nullptr;
    /// Order of arrival; a requeued job keeps its position.
    std::uint64_t arrival = 0;
    bool isWaiting = false;
    bool isCancelled = false;
    /// Attempts that may still be running.
    std::vector<std::uint64_t> attempts;
    /// The minimum to reserve, raised after an attempt ran out of memory.
    Resources minimumSize;
    std::set<WorkerId> failedWorkers;
    int failures = 0;
};

} // namespace Greengage
