#pragma once

#include <config/settings/SocketAddress.h>

#include <cstdint>
#include <vector>

namespace Greengage {

/// The port for messages between daemons.
struct MeshSettings {
    std::uint16_t port = 0;
    /// Where other daemons reach this one; the daemon's own address and mesh port unless set.
    SocketAddress advertised;
    /// Daemons to ask while the store is out and tells of none.
    std::vector<SocketAddress> peers;
};

} // namespace Greengage
