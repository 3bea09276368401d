#pragma once

#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>

namespace Greengage {

/// The last observation of one daemon.
struct MemberObservation {
    ZoneId zone;
    /// When the membership last listed it.
    Instant listedAt = Instant::min();
    /// When the exchange that returned `state` was started.
    Instant stateAskedAt = Instant::min();
    PeerState state;
};

} // namespace Greengage
