#pragma once

#include <fleet/requests/tables/Tick.h>

#include <string>

namespace Greengage {

struct ClaimSettled;
struct RequestRow;

/// Ensures that only one submission of a non-idempotent request is sent per idempotency key. The claim is written to
/// the store before the request is first sent, but only once a slot and a unit of the limit have been found, so that
/// few claims are made for requests that are then not run.
class ClaimManager {
public:
    explicit ClaimManager(Tick&);

    /// Whether the request must be claimed before it is sent. Reuses a claim that this daemon won for an earlier
    /// submission under the same key and did not use.
    bool isNeeded(RequestRow&) const;
    /// Requests the claim for a request that holds a slot and a unit of the limit.
    void request(RequestRow&);
    void handle(const ClaimSettled&);
    /// Keeps the claim of a request that ended without being sent, for the next submission.
    void retainUnused(const RequestRow&);

private:
    std::string storeKeyOf(const RequestRow&) const;

    Tick& tick;
};

} // namespace Greengage
