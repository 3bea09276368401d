#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/placement/model/Resources.h>

#include <cstdint>

namespace Greengage {

/// Tell a worker to start a job, or to resume it from its checkpoint. The worker stops the job when the lease expires.
struct StartTask {
    std::uint64_t attempt = 0;
    JobId job;
    WorkerId worker;
    /// The boot of the worker that is addressed; any other boot answers FailedToStart.
    std::uint64_t workerBoot = 0;
    Resources reserved;
    Deadline lease;
};

} // namespace Greengage
