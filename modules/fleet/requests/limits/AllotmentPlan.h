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

/// Plans this daemon's next allotment of every team: takes free units for waiting work, hands idle units back when
/// peers wait for them, and keeps a small reserve in quiet times so that work can start without the store.
class AllotmentPlan {
public:
    explicit AllotmentPlan(Tick&);

    /// The newest book with this daemon's own allotments as it wants them.
    AllotmentBook draft() const;

private:
    TeamDemandView viewOf(const Team&) const;
    /// Daemons that are live or listed, this one included.
    int countMembers(std::size_t live) const;
    int plan(const Team&) const;
    /// Whether the daemon has requests of the team waiting and holds less than half of an equal part.
    bool starves(const DaemonDemand&, const TeamDemandView&) const;
    /// Stops the use of units beyond the fair part while a peer starves, so that they come free and can be handed back.
    void capStarts(const TeamDemandView&) const;
    int unitsWhenShort(const TeamDemandView&) const;
    int unitsWhenIdle(const TeamDemandView&) const;

    Tick& tick;
    EscrowState& state;
    LiveDemand demand;
};

} // namespace Greengage
