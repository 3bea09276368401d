#pragma once

#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct EndpointRow;
struct RequestRow;
class SlotShares;

/// Chooses the endpoint of the next attempt: one with a free slot that has not failed the request, in this daemon's
/// availability zone if possible, and with the least work among those. Endpoints that keep failing are passed over.
class EndpointSelection {
public:
    explicit EndpointSelection(Tick&);

    /// Null if no endpoint has room.
    EndpointRow* choose(const RequestRow&, SlotShares&) const;
    /// How many open endpoints of its service the request has not tried, with or without a free slot.
    int countCandidates(const RequestRow&) const;

private:
    bool isCandidate(const EndpointRow&, const RequestRow&) const;
    /// For when every candidate has been set aside: better a doubtful endpoint than none.
    EndpointRow* fewestFailures(const RequestRow&, SlotShares&) const;
    bool isBetter(const EndpointRow&, const EndpointRow& best) const;

    Tick& tick;
};

} // namespace Greengage
