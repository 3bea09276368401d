#pragma once

#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// One endpoint, as seen by the daemon that answers the status request.
struct EndpointStatus {
    VmId vm;
    ServiceId service;
    /// Whether the endpoint receives requests, and if not why, as one word such as "live", "leaving" or "silent".
    std::string state;
    /// Number of requests that the daemon has sent to the endpoint and that have not ended.
    int running = 0;
};

} // namespace Greengage
