#pragma once

#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>

namespace Greengage {

/// A state message of a peer arrived.
struct PeerHeard {
    PeerState state;
    /// When this daemon began the exchange, by its own clock. The ages in the message are counted from here, so that a
    /// delayed message does not count as fresh.
    Instant askedAt;
};

} // namespace Greengage
