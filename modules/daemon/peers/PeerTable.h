#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <daemon/peers/PeerRecord.h>

#include <unordered_map>

namespace Greengage {

/// The last observed states of the other daemons, by incarnation.
class PeerTable {
public:
    /// Records the state of a peer that was requested at `askedAt`, unless a newer one is known. Removes peers that
    /// were last seen more than ten minutes before.
    void record(const PeerState&, Instant askedAt);

    /// The record of an incarnation, or null if it was never seen or has been removed.
    const PeerRecord* find(const IncarnationId&) const;

private:
    std::unordered_map<IncarnationId, PeerRecord> peers;
};

} // namespace Greengage
