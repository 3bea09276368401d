#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>

namespace Greengage {

/// How a daemon knows of another daemon.
struct PeerSighting {
    IncarnationId incarnation;
    ZoneId zone;
    /// How long ago, when the message was made, it had been heard, directly or through others.
    Milliseconds age {};
};

} // namespace Greengage
