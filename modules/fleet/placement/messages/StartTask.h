#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/placement/model/Resources.h>

#include <cstdint>

namespace Greengage {

/// Tell a worker to start a job, or to go on from its checkpoint. The worker stops it when the lease has lapsed.
struct StartTask {
    std::uint64_t attempt = 0;
    JobId job;
    WorkerId worker;
    /// Boot of the worker that is meant; another one answers FailedToStart.
    std::uint64_t workerBoot = 0;
    Resources reserved;
    Deadline lease;
};

} // namespace Greengage
