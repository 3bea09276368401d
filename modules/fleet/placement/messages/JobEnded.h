#pragma once

#include <core/text/Identifier.h>
#include <fleet/placement/messages/JobOutcome.h>

#include <string>

namespace Greengage {

/// A job has ended; emitted once per job.
struct JobEnded {
    JobId job;
    JobOutcome outcome = JobOutcome::Completed;
    /// Explanation for an operator, such as "needs 40 processors, the largest worker has 32".
    std::string detail;
};

} // namespace Greengage
