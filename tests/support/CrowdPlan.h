#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Greengage {

/// What the connections of a crowd send to one address.
struct CrowdPlan {
    std::string address {};
    std::uint16_t port = 0;
    std::size_t connections = 0;
    /// Sent once by each connection.
    std::string opening {};
    /// Sent after the opening, `repeats` times by each connection.
    std::string repeated {};
    std::size_t repeats = 0;
    /// Size of each connection's receive buffer; 0 leaves the kernel's.
    int receiveBufferBytes = 0;
};

} // namespace Greengage
