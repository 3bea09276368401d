#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// Where a daemon takes callers.
struct DaemonAddress {
    std::string address;
    std::uint16_t port = 0;
};

} // namespace Greengage
