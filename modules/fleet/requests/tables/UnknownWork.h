#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/requests/tables/TeamQueueKey.h>

namespace Greengage {

/// An attempt that was sent and whose end is not known. It keeps its unit of the team's limit and its slot until the
/// endpoint reports that it is not running the request.
struct UnknownWork {
    RequestId request;
    TeamQueueKey teamQueue;
    VmId endpoint;
    /// Only reports that were requested at or after this instant count, because by then bytes on their way have
    /// arrived.
    Instant settlesAfter;
};

} // namespace Greengage
