#pragma once

#include <core/time/Deadline.h>
#include <jobs/tables/LeaseExpiry.h>

namespace Greengage {

class JobTables;
struct Attempt;
struct WorkerRow;

/// Bounds how long the leases of workers last, whoever granted them, and so tells which attempts of unresponsive
/// workers are certainly over.
class LeaseBounds {
public:
    /// `leaseDuration` is the lease that workers are asked for, `longestGrantedLease` the longest that they grant.
    LeaseBounds(const JobTables& tables, Milliseconds leaseDuration, Milliseconds longestGrantedLease)
        : tables(tables)
        , leaseDuration(leaseDuration)
        , longestGrantedLease(longestGrantedLease)
    {
    }

    /// The longest time that a lease of the given length can last on our clock.
    static Milliseconds longestLease(Milliseconds span)
    {
        return span + span * workerClockSlackPercent / 100 + leaseMargin;
    }

    /// The same for an incarnation of which no report has told, counted from when the order was sent: on its clock, the
    /// lease begins when the order arrives.
    static Milliseconds longestLeaseOfUnknown(Milliseconds longestGrantedLease)
    {
        return longestCall + LeaseBounds::longestLease(longestGrantedLease);
    }

    /// The longest time that a lease lasts which workers are asked for.
    Milliseconds longestAskedLease() const { return LeaseBounds::longestLease(this->leaseDuration); }

    /// When the longest lease has expired that an order sent at `now` can give to an incarnation.
    Deadline longestExpiry(Instant now) const
    {
        return Deadline::after(now, LeaseBounds::longestLeaseOfUnknown(this->longestGrantedLease));
    }

    /// Records that a lease of this length was granted at `now`.
    void extend(WorkerRow&, Instant now, Milliseconds length) const;

    /// Applies that the worker answers this leader, and so refuses the orders of earlier ones: the leases that these
    /// granted last on, but get no longer.
    void boundInherited(WorkerRow&, Instant now) const;

    /// When the leases of the worker expire that this leader and those before may have granted.
    LeaseExpiry expiryOf(const WorkerRow&) const;

    /// Whether the attempt of an unresponsive worker does not run any more and cannot start either.
    bool isLost(const WorkerRow&, const Attempt&, Instant now) const;

    /// Whether no attempt of an unresponsive worker runs any more or can start.
    bool areAllLost(const WorkerRow&, Instant now) const;

private:
    /// A worker's clock may be this much slower than ours, in percent, rounded up.
    static constexpr int workerClockSlackPercent = 3;
    /// Covers the time that an order takes on the network.
    static constexpr Milliseconds leaseMargin { 200 };
    /// A call to a worker is given up after less than this time, and reaches it until then.
    static constexpr Milliseconds longestCall { 500 };
    /// A start order that may be under way to a worker that has ended is waited for this long, so that its task runs
    /// again within 9 s. It may arrive up to 12 s after it was sent.
    static constexpr Milliseconds longestWaitForOrder { 6000 };

    /// Whether the worker may have started again under earlier leaders, so that it may hold the longest lease.
    bool mayHaveRestarted(const WorkerRow&) const;

    /// When the leases expire that earlier leaders may have granted the worker.
    LeaseExpiry inheritedExpiryOf(const WorkerRow&) const;

    /// Whether no incarnation of the worker holds a lease any more, including one of which no report has told.
    bool hasLongestExpired(const WorkerRow&, Instant now) const;

    /// Whether the lease of the worker's known incarnation has certainly expired.
    bool hasKnownExpired(const WorkerRow&, Instant now) const;

    /// Whether a copy of the attempt's start order is taken for being under way, so that an incarnation of the worker
    /// which has not answered yet may carry it out. An order of which the earlier leader has not told counts as
    /// sent at the change of leader, and is waited for less long.
    bool mayStartLate(const Attempt&, Instant now) const;

    const JobTables& tables;
    Milliseconds leaseDuration;
    Milliseconds longestGrantedLease;
};

} // namespace Greengage
