#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/model/TaskName.h>

#include <vector>

namespace Greengage {

/// Asks the advice service which of these workers may run the tasks of a step.
struct AdviceQuestion {
    /// The step; the index is not used.
    TaskName step;
    std::vector<WorkerId> workers;
    /// How long the service takes for it.
    Milliseconds takes { 0 };
};

} // namespace Greengage
