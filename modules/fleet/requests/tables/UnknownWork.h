#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/requests/tables/TeamQueueKey.h>

namespace Greengage {

/// An attempt that was sent and whose end is not known. It keeps its unit of the team's limit and its slot until the
/// endpoint reports that it does not run the request.
struct UnknownWork {
    RequestId request;
    TeamQueueKey teamQueue;
    VmId endpoint;
    /// A report counts if it was asked for after this instant, so that bytes still under way have arrived.
    Instant settlesAfter;
};

} // namespace Greengage
