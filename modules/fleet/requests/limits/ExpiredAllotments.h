#pragma once

#include <core/text/Identifier.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

class AllotmentBook;
struct ExpiredIncarnation;
struct EscrowState;
struct RunningReported;

/// Reclaims the allotments of expired incarnations. An allotment stays reserved until its incarnation has been neither
/// listed nor seen for so long that the incarnation itself treats the allotment as void. It then shrinks to the work
/// that the endpoints still report. An endpoint that has not reported counts as fully occupied by that work.
class ExpiredAllotments {
public:
    explicit ExpiredAllotments(Tick&);

    void handle(const RunningReported&);
    /// Finds expired incarnations, and queries the endpoints if this daemon is the one to reclaim.
    void askEndpoints();
    void reclaim(AllotmentBook&) const;

private:
    bool isExpired(const IncarnationId&) const;
    /// Whether this daemon has contact with the store and all listed peers and has the lowest incarnation id among
    /// them.
    bool isResponsible() const;
    int countRunning(const ExpiredIncarnation&, const TeamId&) const;

    Tick& tick;
    EscrowState& state;
};

} // namespace Greengage
