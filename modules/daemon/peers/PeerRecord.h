#pragma once

#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>

namespace Greengage {

/// The last observed state of a peer.
struct PeerRecord {
    PeerState state;
    /// When the request that returned the state was sent.
    Instant lastSeenAt;
};

} // namespace Greengage
