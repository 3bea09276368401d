#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/placement/model/WorkerRecord.h>
#include <fleet/placement/systems/WorkerHealth.h>

#include <cstdint>
#include <set>
#include <vector>

namespace Greengage {

/// A worker with what is reserved on it.
struct WorkerEntry {
    WorkerRecord record;
    bool isListed = true;
    /// Reserved by attempts that may be running.
    Resources held;
    /// Promised to attempts whose space is being freed.
    Resources awaited;
    std::vector<std::uint64_t> attempts;
    WorkerHealth health = WorkerHealth::Healthy;
    /// Jobs that it has failed since it last did one well.
    std::set<JobId> failedJobs;
    bool hasDoneWell = false;
    int timesSetAside = 0;
    Deadline setAsideUntil;
    /// Key under which the table has it in order of free processors.
    double indexedFree = 0;
    bool isIndexed = false;

    Resources free() const { return this->record.capacity - this->held - this->awaited; }
    bool isUsable() const;
};

} // namespace Greengage
