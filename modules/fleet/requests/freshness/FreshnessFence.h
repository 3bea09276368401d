#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct MembersListed;
struct PeerHeard;
struct PeerState;
struct StoreConfirmed;

/// Decides until when this daemon may rely on its document for keyed work. The document counts as fresh for a bounded
/// time after the store was asked, by this daemon or by a peer that passed the answer's age on, and had nothing newer.
/// While no such confirmation is known, it counts as fresh if a daemon of every other availability zone was heard
/// within the bound, since a change is accepted only through a daemon. A daemon that knows of no other zone has no such
/// permission. A newer revision that has been heard of and not
/// applied ends the freshness at once.
class FreshnessFence {
public:
    explicit FreshnessFence(Tick&);

    void handle(const StoreConfirmed&);
    void handle(const PeerHeard&);
    void handle(const MembersListed&);

    /// Instant from which keyed work must not be started.
    Instant permissionEnd() const;
    /// As permissionEnd, whether or not the newest known revision has been applied.
    Instant contactEnd() const;
    bool allowsKeyedWork() const { return this->tick.now < this->permissionEnd(); }

    /// Fills in revisions, the age of the confirmation and the sightings.
    void describe(PeerState&) const;

private:
    void applyObservations(const PeerHeard&);
    Instant zoneContactEnd() const;
    Milliseconds ageOf(Instant) const;

    Tick& tick;
};

} // namespace Greengage
