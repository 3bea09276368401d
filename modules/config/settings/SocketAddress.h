#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// A numeric IP address with a port.
struct SocketAddress {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

} // namespace Greengage
