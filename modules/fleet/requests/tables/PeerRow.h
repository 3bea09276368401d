#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>

namespace Greengage {

/// What this daemon knows of one incarnation of another daemon.
struct PeerRow {
    ZoneId zone;
    /// Whether the last membership list read from the store contained it.
    bool listed = false;
    /// When it was last seen, directly or by another daemon.
    Instant lastSeenAt = Instant::min();
    /// When it last sent its state to this daemon, and that state.
    Instant directlySeenAt = Instant::min();
    PeerState state;
};

} // namespace Greengage
