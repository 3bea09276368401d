#pragma once

#include <config/settings/SocketAddress.h>

#include <cstdint>
#include <vector>

namespace Greengage {

/// Settings for messages between daemons.
struct MeshSettings {
    std::uint16_t port = 0;
    /// Address at which other daemons reach this one; by default the daemon's address and mesh port.
    SocketAddress advertised;
    /// Daemons to contact while the store is unavailable and cannot list the members.
    std::vector<SocketAddress> peers;
};

} // namespace Greengage
