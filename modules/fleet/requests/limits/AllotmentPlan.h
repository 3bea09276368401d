#pragma once

#include <core/text/Identifier.h>
#include <fleet/requests/limits/AllotmentBook.h>
#include <fleet/requests/sharing/LiveDemand.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct DaemonDemand;
struct EscrowState;
struct Team;
struct TeamDemandView;

/// Plans this daemon's next allotment of every team: takes free units for waiting requests, hands unused units back
/// when peers wait for them, and keeps a small reserve while nothing waits so that requests can start without a write
/// to the store.
class AllotmentPlan {
public:
    explicit AllotmentPlan(Tick&);

    /// The newest book with this daemon's own allotments replaced by the planned ones.
    AllotmentBook draft() const;

private:
    TeamDemandView viewOf(const Team&) const;
    /// Number of daemons that are live or listed, including this one.
    int countMembers(std::size_t live) const;
    int plan(const Team&) const;
    /// Whether the daemon has waiting requests of the team and holds less than half of an equal share.
    bool starves(const DaemonDemand&, const TeamDemandView&) const;
    /// Stops starts beyond the fair share while a peer starves, so that units become free and can be handed back.
    void capStarts(const TeamDemandView&) const;
    int unitsWhenShort(const TeamDemandView&) const;
    int unitsWhenIdle(const TeamDemandView&) const;

    Tick& tick;
    EscrowState& state;
    LiveDemand demand;
};

} // namespace Greengage
