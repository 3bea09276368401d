#pragma once

#include <jobs/model/TaskName.h>

#include <cstdint>
#include <map>
#include <set>

namespace Greengage {

/// What has to outlive the daemon that places a job's tasks.
struct JobProgress {
    std::set<TaskName> done;
    /// The numbers of the attempts that failed, so that an end that is reported again is not counted twice.
    std::map<TaskName, std::set<std::uint32_t>> failedRuns;
};

} // namespace Greengage
