#pragma once

#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>

namespace Greengage {

/// The last state of a peer, and when the exchange that brought it began.
struct PeerRecord {
    PeerState state;
    Instant heardAt;
};

} // namespace Greengage
