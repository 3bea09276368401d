#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct MembersListed;
struct PeerHeard;
struct PeerState;
struct StoreConfirmed;

/// Decides until when this daemon may use its document for keyed requests. The document counts as fresh for a bounded
/// time after the store confirmed that it had nothing newer, either to this daemon or to a peer that passed on the age
/// of the answer. Without such a confirmation it counts as fresh if a daemon of every other availability zone was seen
/// within the bound, since a change is accepted only through a daemon. A daemon that knows of no other zone has no such
/// permission. A newer known revision that is not applied yet ends the freshness at once.
class FreshnessFence {
public:
    explicit FreshnessFence(Tick&);

    void handle(const StoreConfirmed&);
    void handle(const PeerHeard&);
    void handle(const MembersListed&);

    /// Instant from which keyed requests must not be started.
    Instant permissionEnd() const;
    /// Same as permissionEnd, but regardless of whether the newest known revision has been applied.
    Instant contactEnd() const;
    bool allowsKeyedWork() const { return this->tick.now < this->permissionEnd(); }

    /// Fills in the revisions, the age of the confirmation and the observations of peers.
    void describe(PeerState&) const;

private:
    void applyObservations(const PeerHeard&);
    Instant zoneContactEnd() const;
    Milliseconds ageOf(Instant) const;

    Tick& tick;
};

} // namespace Greengage
