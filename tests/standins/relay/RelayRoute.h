#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// A listening address and the target that its connections are relayed to.
struct RelayRoute {
    std::string listenAddress;
    std::uint16_t listenPort = 0;
    std::string targetAddress;
    std::uint16_t targetPort = 0;
};

} // namespace Greengage
