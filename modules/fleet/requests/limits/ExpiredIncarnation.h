#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/requests/limits/EndpointReport.h>

#include <map>

namespace Greengage {

/// An incarnation that holds allotments and is neither listed nor heard any more.
struct ExpiredIncarnation {
    /// From then on it can start nothing, and reports of endpoints count.
    Deadline reclaimFrom;
    std::map<VmId, EndpointReport> reports;
};

} // namespace Greengage
