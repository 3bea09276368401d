#pragma once

#include <core/errors/Result.h>
#include <core/time/Deadline.h>
#include <store/store/StoreError.h>

#include <functional>
#include <string>
#include <vector>

namespace Greengage {

class StoreClient;

/// Gives claims a lease that lapses a retention period after it was granted. Claims made within some minutes of each
/// other share one, which is never renewed.
class ClaimLease {
public:
    using Callback = std::function<void(Result<std::string, StoreError>)>;

    explicit ClaimLease(StoreClient&);

    /// Calls back with a lease for a new claim: at once if one is at hand.
    void obtain(Callback);

    /// Gives a lease up that the store no longer knows.
    void discard(const std::string& leaseId);

private:
    StoreClient& store;
    std::string leaseId;
    Deadline sharedUntil;
    std::vector<Callback> waiting;
};

} // namespace Greengage
