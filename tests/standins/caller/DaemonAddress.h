#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// The address and port on which a daemon accepts callers.
struct DaemonAddress {
    std::string address;
    std::uint16_t port = 0;
};

} // namespace Greengage
