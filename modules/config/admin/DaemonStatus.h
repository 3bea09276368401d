#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// One daemon, as seen by the daemon that answers the status request.
struct DaemonStatus {
    DaemonId daemon;
    ZoneId zone;
    /// Revision of the document that the daemon has reported as applied.
    std::uint64_t revision = 0;
    /// Milliseconds since its last message; 0 for the daemon that answers.
    std::int64_t lastSeenMillisecondsAgo = 0;
};

} // namespace Greengage
