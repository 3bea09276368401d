#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/requests/messages/RunningWork.h>

#include <vector>

namespace Greengage {

/// An endpoint reported the requests that it is running.
struct RunningReported {
    VmId endpoint;
    /// When the query was sent: work that ended before this instant is no longer listed.
    Instant askedAt;
    std::vector<RunningWork> running;
};

} // namespace Greengage
