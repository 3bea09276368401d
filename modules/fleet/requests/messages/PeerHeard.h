#pragma once

#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>

namespace Greengage {

/// A peer's state has arrived.
struct PeerHeard {
    PeerState state;
    /// When the exchange that brought it began, by our clock: its ages count from here, so that a message that was
    /// long under way is not taken for fresh.
    Instant askedAt;
};

} // namespace Greengage
