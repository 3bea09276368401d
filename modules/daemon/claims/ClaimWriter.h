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
/// at the latest at its `settleBy` deadline. When the answer to a write is lost, the claim is read back: its value
/// names the owner.
class ClaimWriter {
public:
    using OnSettled = std::function<void(ClaimSettled)>;

    ClaimWriter(event_base&, StoreClient&, IncarnationId self, OnSettled onSettled);

    void write(const WriteClaim&);

private:
    struct Claim {
        WriteClaim command;
        /// Whether a write was sent that may have created the claim.
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
    OnSettled onSettled;
    ClaimLease lease;
    std::uint64_t nextClaim = 1;
    std::map<std::uint64_t, Claim> claims;
    std::vector<std::uint64_t> retryQueue;
    Timer timer;
};

} // namespace Greengage
