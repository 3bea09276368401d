#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <daemon/peers/PeerRecord.h>

#include <unordered_map>

namespace Greengage {

/// What the other daemons last said of themselves.
class PeerTable {
public:
    /// Takes a peer's state from an exchange that began at `askedAt`. Forgets those not heard for long.
    void take(const PeerState&, Instant askedAt);

    /// What is known of an incarnation, or null if it has not been heard.
    const PeerRecord* find(const IncarnationId&) const;

private:
    std::unordered_map<IncarnationId, PeerRecord> peers;
};

} // namespace Greengage
