#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/placement/model/AttemptPhase.h>
#include <fleet/placement/model/Resources.h>

#include <cstdint>

namespace Greengage {

/// One attempt to run a job on a worker. It keeps its reservation and counts against its team's upper limit until the
/// worker has reported its end or has booted again.
struct Attempt {
    std::uint64_t number = 0;
    JobId job;
    TeamId team;
    WorkerId worker;
    std::uint64_t workerBoot = 0;
    AttemptPhase phase = AttemptPhase::Starting;
    Resources reserved;
    /// The worker stops the attempt by itself if it cannot renew the lease by then.
    Deadline lease;
    Instant startedAt = Instant::min();
    /// Whether the job returns to its queue when the attempt ends after a requested stop.
    bool requeuesJob = false;
    bool isThrottled = false;
};

} // namespace Greengage
