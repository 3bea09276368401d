#pragma once

#include <core/time/Instant.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace Greengage {

/// Identity, address and capacity of one endpoint of the minion stand-in.
struct EndpointSettings {
    std::string vm;
    std::string address;
    std::uint16_t port = 0;
    std::size_t slots = 8;
    std::size_t connections = 64;
    /// Run time of work whose request gives none.
    Milliseconds runTime { 20 };
};

} // namespace Greengage
