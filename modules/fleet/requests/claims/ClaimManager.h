#pragma once

#include <fleet/requests/tables/Tick.h>

#include <string>

namespace Greengage {

struct ClaimSettled;
struct RequestRow;

/// Makes sure that of all submissions of a non-idempotent request under one idempotency key only one is sent. The
/// claim is written to the store before the request is first sent, and after a slot and a unit have been found for it,
/// so that few claims are made for requests that are then not run.
class ClaimManager {
public:
    explicit ClaimManager(Tick&);

    /// Whether the request must be claimed before it is sent. A claim that this daemon has won for an earlier
    /// submission under the same key, and not used, is taken over.
    bool isNeeded(RequestRow&) const;
    /// Asks for the claim of a request that holds a slot and a unit.
    void request(RequestRow&);
    void handle(const ClaimSettled&);
    /// Keeps the claim of a request that ends without having been sent.
    void retainUnused(const RequestRow&);

private:
    std::string storeKeyOf(const RequestRow&) const;

    Tick& tick;
};

} // namespace Greengage
