#pragma once

#include <config/settings/SocketAddress.h>
#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// The record under which a daemon registers itself in the store.
struct MemberRecord {
    DaemonId daemon;
    IncarnationId incarnation;
    ZoneId zone;
    /// The address at which other daemons connect to it.
    SocketAddress mesh;
    std::uint16_t adminPort = 0;
};

} // namespace Greengage
