#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/placement/model/WorkerRecord.h>
#include <fleet/placement/systems/WorkerHealth.h>

#include <cstdint>
#include <set>
#include <vector>

namespace Greengage {

/// A worker with the resources reserved on it.
struct WorkerEntry {
    WorkerRecord record;
    bool isListed = true;
    /// Resources reserved by attempts that may be running.
    Resources held;
    /// Resources reserved for attempts that wait until capacity has been freed.
    Resources awaited;
    std::vector<std::uint64_t> attempts;
    WorkerHealth health = WorkerHealth::Healthy;
    /// Jobs that have failed on it since its last success.
    std::set<JobId> failedJobs;
    bool hasSucceeded = false;
    int quarantineCount = 0;
    Deadline quarantinedUntil;
    /// Its key in the table's index by free processors.
    double indexedFree = 0;
    bool isIndexed = false;

    Resources free() const { return this->record.capacity - this->held - this->awaited; }
    bool isUsable() const;
};

} // namespace Greengage
