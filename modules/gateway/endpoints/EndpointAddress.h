#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// Where an endpoint listens. The VM is part of it: a connection made for one VM is never used for another that has
/// taken over its address.
struct EndpointAddress {
    VmId vm;
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const EndpointAddress&, const EndpointAddress&) = default;
};

} // namespace Greengage
