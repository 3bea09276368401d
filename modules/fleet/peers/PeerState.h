#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/peers/PeerSighting.h>
#include <fleet/peers/TeamDemand.h>

#include <cstdint>
#include <vector>

namespace Greengage {

/// State that a daemon sends to its peers several times a second.
struct PeerState {
    DaemonId daemon;
    IncarnationId incarnation;
    ZoneId zone;
    /// Revision of the document that the daemon has applied.
    std::uint64_t appliedRevision = 0;
    /// Newest revision that the daemon knows of.
    std::uint64_t knownRevision = 0;
    /// Time from the sending of the read with which the store last confirmed `knownRevision`, to this daemon or a peer,
    /// to the creation of the message; the largest value if never.
    Milliseconds confirmationAge = Milliseconds::max();
    bool shuttingDown = false;
    /// Revision of the maintenance ledger that the daemon has applied: it sends no new requests to VMs that this
    /// revision takes out of service.
    std::uint64_t appliedLedgerRevision = 0;
    /// VMs out of service by that revision to which the daemon still has attempts in progress.
    std::vector<VmId> busyDrainingVms;
    std::vector<TeamDemand> demand;
    std::vector<PeerSighting> sightings;
};

} // namespace Greengage
