#pragma once

#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// One endpoint, as the daemon that was asked uses it.
struct EndpointStatus {
    VmId vm;
    ServiceId service;
    /// Whether it gets work, and why not, in one word such as "live", "leaving" or "silent".
    std::string state;
    /// Requests that the daemon has sent it and that have not ended.
    int running = 0;
};

} // namespace Greengage
