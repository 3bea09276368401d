#pragma once

#include <core/errors/Result.h>
#include <core/time/Deadline.h>
#include <store/store/StoreError.h>

#include <functional>
#include <string>
#include <vector>

namespace Greengage {

class StoreClient;

/// Provides leases for claims. A lease expires 24 hours after it was granted and is never renewed; claims created
/// within ten minutes of the grant share it.
class ClaimLease {
public:
    using Callback = std::function<void(Result<std::string, StoreError>)>;

    explicit ClaimLease(StoreClient&);

    /// Calls back with a lease for a new claim: immediately if the shared one may still be used.
    void acquire(Callback);

    /// Stops using a lease that has expired in the store.
    void discard(const std::string& leaseId);

private:
    StoreClient& store;
    std::string leaseId;
    Deadline sharedUntil;
    std::vector<Callback> waiting;
};

} // namespace Greengage
