#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>

namespace Greengage {

/// What is known of one incarnation of another daemon.
struct PeerRow {
    ZoneId zone;
    /// Whether the last membership read from the store named it.
    bool listed = false;
    /// When it was last known to be alive, directly or through others.
    Instant lastSeenAt = Instant::min();
    /// When it last spoke to us itself, and what it said.
    Instant directlySeenAt = Instant::min();
    PeerState state;
};

} // namespace Greengage
