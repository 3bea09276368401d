#include <coordinator/placing/LeaseBounds.h>

#include <jobs/tables/JobTables.h>

#include <algorithm>

namespace Greengage {

void LeaseBounds::extend(WorkerRow& worker, Instant now, Milliseconds length) const
{
    auto expiry = Deadline::after(now, LeaseBounds::longestLease(length));
    worker.leaseExpires = std::max(worker.leaseExpires, expiry);
    worker.longestLeaseExpires = std::max(worker.longestLeaseExpires, this->longestExpiry(now));
}

void LeaseBounds::boundInherited(WorkerRow& worker, Instant now) const
{
    LeaseExpiry inherited = this->inheritedExpiryOf(worker);
    auto longest = std::min(inherited.longest, this->longestExpiry(now));
    auto asked = Deadline::after(now, this->longestAskedLease());
    auto known = this->mayHaveRestarted(worker) ? longest : std::min(inherited.known, asked);
    worker.leaseExpires = std::max(worker.leaseExpires, known);
    worker.longestLeaseExpires = std::max(worker.longestLeaseExpires, longest);
}

LeaseExpiry LeaseBounds::expiryOf(const WorkerRow& worker) const
{
    LeaseExpiry lease { worker.leaseExpires, worker.longestLeaseExpires };
    if (worker.isReached)
        return lease;
    LeaseExpiry inherited = this->inheritedExpiryOf(worker);
    return { std::max(lease.known, inherited.known), std::max(lease.longest, inherited.longest) };
}

bool LeaseBounds::isLost(const WorkerRow& worker, const Attempt& attempt, Instant now) const
{
    if (worker.hasEnded)
        return !this->mayStartLate(attempt, now);
    return this->hasLongestExpired(worker, now) || (this->hasKnownExpired(worker, now) && attempt.endsWithKnownLease());
}

bool LeaseBounds::areAllLost(const WorkerRow& worker, Instant now) const
{
    return (worker.hasEnded || this->hasLongestExpired(worker, now))
        && std::all_of(worker.attempts.begin(), worker.attempts.end(),
            [&](const auto& entry) { return this->isLost(worker, entry.second, now); });
}

bool LeaseBounds::mayHaveRestarted(const WorkerRow& worker) const
{
    return worker.hasRestarted || this->tables.isRosterUnreadable;
}

LeaseExpiry LeaseBounds::inheritedExpiryOf(const WorkerRow& worker) const
{
    LeaseExpiry lease { this->tables.inheritedLeasesExpire, this->tables.inheritedLongestLeasesExpire };
    const auto& told = this->tables.openOrders.leases;
    if (auto found = told.find(worker.info.id); found != told.end())
        lease = { std::min(lease.known, found->second.known), std::min(lease.longest, found->second.longest) };
    // The incarnation that runs may be another one than the earlier leaders knew.
    if (this->mayHaveRestarted(worker))
        lease.known = lease.longest;
    return lease;
}

bool LeaseBounds::hasLongestExpired(const WorkerRow& worker, Instant now) const
{
    return this->expiryOf(worker).longest.hasPassed(now);
}

bool LeaseBounds::hasKnownExpired(const WorkerRow& worker, Instant now) const
{
    return this->expiryOf(worker).known.hasPassed(now);
}

bool LeaseBounds::mayStartLate(const Attempt& attempt, Instant now) const
{
    if (attempt.endsWithVm())
        return false;
    bool isWaitShort = attempt.isLongRunning || !attempt.isSendTimeKnown();
    Milliseconds wait = isWaitShort ? this->longestAskedLease() : longestWaitForOrder;
    return now - attempt.orderedAt < wait;
}

} // namespace Greengage
