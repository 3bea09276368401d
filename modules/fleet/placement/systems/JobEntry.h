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
    /// What has been seen of jobs like it.
    KindHistory* history = nullptr;
    /// Order of arrival; a job that is requeued keeps its place.
    std::uint64_t arrival = 0;
    bool isWaiting = false;
    bool isCancelled = false;
    /// Attempts that may still be running.
    std::vector<std::uint64_t> attempts;
    /// At least so much is reserved, after an attempt ran out of memory.
    Resources leastSize;
    std::set<WorkerId> failedWorkers;
    int failures = 0;
};

} // namespace Greengage
