#pragma once

#include <core/text/Identifier.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

class AllotmentBook;
struct ExpiredIncarnation;
struct EscrowState;
struct RunningReported;

/// Reclaims the allotments of incarnations that have died. Such an allotment stays reserved until the incarnation has
/// been neither listed nor heard for so long that it holds its own allotment void, and then shrinks to the work that
/// the endpoints still report. An endpoint that has not reported counts as full of it.
class ExpiredAllotments {
public:
    explicit ExpiredAllotments(Tick&);

    void handle(const RunningReported&);
    /// Finds dead incarnations, and asks endpoints if this daemon is the one to reclaim.
    void askEndpoints();
    void reclaim(AllotmentBook&) const;

private:
    bool isExpired(const IncarnationId&) const;
    /// Whether this daemon is in touch with the store and every listed peer, and comes first among them.
    bool isResponsible() const;
    int countRunning(const ExpiredIncarnation&, const TeamId&) const;

    Tick& tick;
    EscrowState& state;
};

} // namespace Greengage
