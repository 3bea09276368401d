#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// One daemon, as the daemon that was asked knows it.
struct DaemonStatus {
    DaemonId daemon;
    ZoneId zone;
    /// Revision of the document that it has reported as applied.
    std::uint64_t revision = 0;
    /// How long ago it was last heard, in milliseconds; 0 for the daemon that was asked.
    std::int64_t heardMillisecondsAgo = 0;
};

} // namespace Greengage
