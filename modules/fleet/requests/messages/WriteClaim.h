#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

#include <string>

namespace Greengage {

/// Create a claim in the store, if nobody has, and answer with ClaimSettled.
struct WriteClaim {
    RequestId request;
    /// Key in the store, made from the team and a digest of the idempotency key.
    std::string storeKey;
    /// After this the claim is no longer wanted.
    Deadline settleBy;
};

} // namespace Greengage
