#pragma once

#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct EndpointRow;
struct RequestRow;

/// Chooses the endpoint of the next attempt: one with a free slot that has not failed the request, in this daemon's
/// availability zone if possible, and with the least work among those.
class EndpointSelection {
public:
    explicit EndpointSelection(Tick&);

    /// Null if no endpoint has room.
    EndpointRow* choose(const RequestRow&) const;
    /// Whether the request's service has any open endpoint that the request has not tried.
    bool hasCandidate(const RequestRow&) const;

private:
    bool isCandidate(const EndpointRow&, const RequestRow&) const;
    bool isBetter(const EndpointRow&, const EndpointRow& best) const;

    Tick& tick;
};

} // namespace Greengage
