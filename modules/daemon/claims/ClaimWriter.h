#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <daemon/claims/ClaimLease.h>
#include <fleet/requests/messages/ClaimSettled.h>
#include <fleet/requests/messages/WriteClaim.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Greengage {

class StoreClient;
struct StoreError;

/// Creates claims in the store by compare-and-swap. Every claim is settled exactly once, never from within `write`, and
/// at the latest when its time has passed. A lost answer is settled by reading the claim back: it says whose it is.
class ClaimWriter {
public:
    using Settled = std::function<void(ClaimSettled)>;

    ClaimWriter(event_base&, StoreClient&, IncarnationId self, Settled settled);

    void write(const WriteClaim&);

private:
    struct Claim {
        WriteClaim wanted;
        /// Whether a write has been sent whose answer did not come.
        bool mayBeWritten = false;
    };

    void attempt(std::uint64_t id);
    void create(std::uint64_t id, const std::string& leaseId);
    void handleFailure(std::uint64_t id, const std::string& leaseId, const StoreError&);
    void readBack(std::uint64_t id);
    void retryLater(std::uint64_t id);
    void settle(std::uint64_t id, ClaimResult);
    void handleTimer();
    std::string valueOf(const Claim&) const;

    StoreClient& store;
    IncarnationId self;
    Settled settled;
    ClaimLease lease;
    std::uint64_t nextClaim = 1;
    std::map<std::uint64_t, Claim> claims;
    std::vector<std::uint64_t> toRetry;
    Timer timer;
};

} // namespace Greengage
