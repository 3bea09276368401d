#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// Where an endpoint listens. It includes the VM, so that a connection opened to one VM is never reused for another VM
/// that has been given the same address.
struct EndpointAddress {
    VmId vm;
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const EndpointAddress&, const EndpointAddress&) = default;
};

} // namespace Greengage
