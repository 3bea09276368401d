#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/TaskName.h>

#include <cstdint>
#include <map>
#include <set>

namespace Greengage {

/// Where a task was ordered to start.
struct TaskPlacement {
    WorkerId worker;
    std::uint32_t run = 0;
};

/// What has to outlive the daemon that places a job's tasks.
struct JobProgress {
    std::set<TaskName> done;
    /// Where the other tasks were ordered to start. A task that is not here has not been started anywhere.
    std::map<TaskName, TaskPlacement> placements;
    /// The numbers of the attempts that failed, so that an end that is reported again is not counted twice.
    std::map<TaskName, std::set<std::uint32_t>> failedRuns;
};

} // namespace Greengage
