#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/requests/limits/EndpointReport.h>

#include <map>

namespace Greengage {

/// An incarnation that holds allotments and is neither listed nor seen any more.
struct ExpiredIncarnation {
    /// From this time on the incarnation can start nothing, so reports of endpoints are conclusive.
    Deadline reclaimFrom;
    std::map<VmId, EndpointReport> reports;
};

} // namespace Greengage
