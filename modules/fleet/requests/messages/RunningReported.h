#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>

#include <string>
#include <vector>

namespace Greengage {

/// One piece of work that an endpoint says is running.
struct RunningWork {
    RequestId request;
    TeamId team;
    IncarnationId incarnation;
};

/// An endpoint has answered what it is running.
struct RunningReported {
    VmId endpoint;
    /// When the question was sent: work that ended before this instant is no longer listed.
    Instant askedAt;
    std::vector<RunningWork> running;
};

} // namespace Greengage
