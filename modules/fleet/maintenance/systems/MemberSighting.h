#pragma once

#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>

namespace Greengage {

/// What is known of one daemon.
struct MemberSighting {
    ZoneId zone;
    /// When the membership last listed it.
    Instant listedAt = Instant::min();
    /// When the exchange that brought `state` began.
    Instant heardAt = Instant::min();
    PeerState state;
};

} // namespace Greengage
