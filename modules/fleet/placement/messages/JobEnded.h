#pragma once

#include <core/text/Identifier.h>
#include <fleet/placement/messages/JobOutcome.h>

#include <string>

namespace Greengage {

/// A job has ended; told once for each job.
struct JobEnded {
    JobId job;
    JobOutcome outcome = JobOutcome::Completed;
    /// For people, such as "needs 40 processors, the largest worker has 32".
    std::string detail;
};

} // namespace Greengage
