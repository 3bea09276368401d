#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

#include <string>

namespace Greengage {

/// Creates a claim in the store unless it exists. The result is ClaimSettled.
struct WriteClaim {
    RequestId request;
    /// Key in the store, derived from the team and a digest of the idempotency key.
    std::string storeKey;
    /// Deadline after which the claim is no longer needed.
    Deadline settleBy;
};

} // namespace Greengage
