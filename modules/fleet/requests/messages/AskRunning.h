#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// Queries an endpoint for the requests that it is running. The answer is RunningReported; there may be none.
struct AskRunning {
    VmId endpoint;
    std::string address;
    std::uint16_t port = 0;
};

} // namespace Greengage
