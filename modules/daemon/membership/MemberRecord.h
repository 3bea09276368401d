#pragma once

#include <config/settings/SocketAddress.h>
#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// What a daemon writes into the store about itself.
struct MemberRecord {
    DaemonId daemon;
    IncarnationId incarnation;
    ZoneId zone;
    /// Where other daemons reach it.
    SocketAddress mesh;
    std::uint16_t adminPort = 0;
};

} // namespace Greengage
