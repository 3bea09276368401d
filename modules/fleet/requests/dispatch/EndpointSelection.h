#pragma once

#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct EndpointRow;
struct RequestRow;
class SlotShares;

/// Chooses the endpoint of the next attempt: one with a free slot at which the request has not failed, preferably in
/// this daemon's availability zone, and among those the one with the fewest running requests. Endpoints that keep
/// failing are skipped.
class EndpointSelection {
public:
    explicit EndpointSelection(Tick&);

    /// Null if no endpoint has a free slot.
    EndpointRow* choose(const RequestRow&, SlotShares&) const;
    /// Number of open endpoints of the service that the request has not tried, with or without a free slot.
    int countCandidates(const RequestRow&) const;

private:
    bool isCandidate(const EndpointRow&, const RequestRow&) const;
    /// The candidate with the fewest consecutive failures, used when all candidates are set aside: trying one of them
    /// is better than trying none.
    EndpointRow* fewestFailures(const RequestRow&, SlotShares&) const;
    bool isBetter(const EndpointRow&, const EndpointRow& best) const;

    Tick& tick;
};

} // namespace Greengage
