#include <daemon/claims/ClaimLease.h>

#include <core/time/BootClock.h>
#include <store/store/StoreClient.h>

namespace Greengage {

namespace {

constexpr Milliseconds claimRetention = std::chrono::hours(24);
constexpr Milliseconds sharingPeriod = std::chrono::minutes(10);

} // namespace

ClaimLease::ClaimLease(StoreClient& store)
    : store(store)
{
}

void ClaimLease::acquire(Callback callback)
{
    Instant now = BootClock::now();
    if (!this->leaseId.empty() && !this->sharedUntil.hasPassed(now)) {
        callback(this->leaseId);
        return;
    }
    this->waiting.push_back(std::move(callback));
    if (this->waiting.size() > 1)
        return;
    this->store.grantLease(claimRetention, [this, now](Result<std::string, StoreError> lease) {
        if (lease.has_value()) {
            this->leaseId = lease.value();
            this->sharedUntil = Deadline::after(now, sharingPeriod);
        }
        std::vector<Callback> served = std::move(this->waiting);
        this->waiting.clear();
        for (Callback& waiter : served)
            waiter(lease);
    });
}

void ClaimLease::discard(const std::string& expired)
{
    if (this->leaseId == expired)
        this->leaseId.clear();
}

} // namespace Greengage
