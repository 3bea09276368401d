#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/TaskName.h>

#include <cstdint>
#include <map>
#include <set>

namespace Greengage {

/// The worker and the attempt number with which a task was ordered to start.
struct TaskPlacement {
    WorkerId worker;
    std::uint32_t run = 0;
    /// Whether the worker has carried out the only start order of the attempt, so that no copy of it is under way any
    /// more. Stored for long-running tasks only, and not by earlier versions.
    bool isSettled = false;
    /// Whether, besides, a report to the leader has listed the attempt. Stored for long-running tasks only, and not by
    /// earlier versions.
    bool wasListed = false;
};

/// The progress of a job that is stored, so that a later leader can continue the job.
struct JobProgress {
    std::set<TaskName> done;
    /// Placements of the tasks that are not done. A task without a placement does not run on any worker.
    std::map<TaskName, TaskPlacement> placements;
    /// Numbers of the attempts that failed, so that a failure which is reported again is not counted twice.
    std::map<TaskName, std::set<std::uint32_t>> failedRuns;
    /// Whether a worker is known to have started a task of the job. Not stored by earlier versions.
    bool hasStarted = false;
};

} // namespace Greengage
