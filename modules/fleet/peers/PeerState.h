#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/peers/PeerSighting.h>
#include <fleet/peers/TeamDemand.h>

#include <cstdint>
#include <vector>

namespace Greengage {

/// What a daemon tells its peers several times a second.
struct PeerState {
    DaemonId daemon;
    IncarnationId incarnation;
    ZoneId zone;
    /// Revision of the document that it has applied.
    std::uint64_t appliedRevision = 0;
    /// Newest revision that it has heard of.
    std::uint64_t knownRevision = 0;
    /// How long ago, when the message was made, the question was sent whose answer from the store last confirmed
    /// `knownRevision`, its own or a peer's; the largest value if never.
    Milliseconds confirmationAge = Milliseconds::max();
    bool shuttingDown = false;
    /// Revision of the maintenance ledger whose VMs out of service get no new work from it.
    std::uint64_t appliedLedgerRevision = 0;
    /// Those of these VMs to which it still has attempts under way.
    std::vector<VmId> busyDrainingVms;
    std::vector<TeamDemand> demand;
    std::vector<PeerSighting> sightings;
};

} // namespace Greengage
