#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/model/TaskName.h>

#include <vector>

namespace Greengage {

/// A request to the advice service: which of these workers may run the tasks of a step?
struct AdviceRequest {
    /// Names the step; the task index is ignored.
    TaskName step;
    std::vector<WorkerId> workers;
    /// Expected duration of the call.
    Milliseconds expectedDuration { 0 };
};

} // namespace Greengage
