#pragma once

#include <fleet/placement/model/Job.h>

namespace Greengage {

/// A team submitted a job. Submitting the id of a job that waits or runs has no effect.
struct JobSubmitted {
    Job job;
};

} // namespace Greengage
