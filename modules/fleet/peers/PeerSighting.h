#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>

namespace Greengage {

/// A daemon's observation of another daemon.
struct PeerSighting {
    IncarnationId incarnation;
    ZoneId zone;
    /// Time from the last observation, direct or by another daemon, to the creation of the message; the largest value
    /// if never.
    Milliseconds age {};
};

} // namespace Greengage
