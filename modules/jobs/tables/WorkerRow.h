#pragma once

#include <core/time/Deadline.h>
#include <jobs/model/WorkerInfo.h>
#include <jobs/tables/Attempt.h>
#include <jobs/tables/OpenCopies.h>

#include <cstdint>
#include <map>
#include <utility>

namespace Greengage {

/// The state of one incarnation of a worker.
struct WorkerRow {
    WorkerInfo info;
    /// Whether the directory lists the worker.
    bool isListed = true;
    /// The worker runs nothing and is not listed: its row stays only because a copy of a start order may still reach
    /// it.
    bool isGone = false;
    /// Whether the worker is on the stored worker roster.
    bool isOnRoster = false;
    /// Whether the worker has answered under the current fencing token, so that all attempts on it are known.
    bool isReached = false;
    /// The resources that its attempts occupy in total.
    ResourceAmount occupied;
    std::uint32_t bestEffortCount = 0;
    std::uint32_t latencySensitiveCount = 0;
    std::map<TaskName, Attempt> attempts;
    /// Orphaned attempts: they run on the worker but are not in the tables, so the worker has to stop them.
    std::map<std::pair<TaskName, std::uint32_t>, Attempt> orphans;
    /// The copies of start orders, of this leader, that any incarnation of the worker may still carry out.
    OpenCopies openCopies;
    /// Reported ends with numbers up to this one have been applied.
    std::uint64_t appliedEnds = 0;
    /// Reported ends with numbers up to this one are stored, so the worker may discard them.
    std::uint64_t storedEnds = 0;
    /// Whether the worker is known to have started again under its id, so that its lease may be longer than the one
    /// that a leader has asked for.
    bool hasRestarted = false;
    /// The start times of the incarnations before the current one, in Unix milliseconds. A clock that was set back
    /// makes them look later.
    std::set<std::int64_t> formerIncarnations;
    /// The token of orders to the worker. It rises with each incarnation, so that the worker refuses orders that were
    /// sent to an earlier one and held up. Zero until the first order.
    std::int64_t fencingToken = 0;
    /// Orders to the incarnation before may carry the same token, because no higher one was known.
    bool needsHigherToken = false;
    /// When all attempts have ended that the known incarnation runs, unless its lease is renewed.
    Deadline leaseExpires;
    /// When all attempts have ended that an incarnation runs of which no report has told. It may hold the longest lease
    /// that workers grant, since orders carry times on the clock of the known one.
    Deadline longestLeaseExpires;
    Instant lastReport;
    /// No new attempts are placed on the worker until then, because attempts on it have failed.
    Deadline quarantinedUntil;
    /// The same, because it has refused a start order or left one unanswered.
    Deadline pausedUntil;
    /// Failed attempts on the worker since the last one that was done.
    std::uint32_t consecutiveFailures = 0;
    /// A call to the worker got no answer. No attempt starts on it until it reports again.
    bool isSuspect = false;
    /// The fleet shows no VM on which the worker runs, so that what its incarnation ran has ended whatever its lease.
    bool hasEnded = false;
    /// The VM is being drained for maintenance: no attempt starts on it, and long-running tasks move away.
    bool isDrainOrdered = false;
    /// The VM was ordered into another pool, and it is not known yet what became of the order.
    bool isMoveOrdered = false;

    /// Whether a directory entry with this start time tells nothing, because the worker itself has reported as another
    /// incarnation. An entry that looks earlier may be that of a new one, which its reports will show.
    bool isOutdated(std::int64_t incarnationUnixMs) const
    {
        return this->isReached
            && (incarnationUnixMs < this->info.incarnationUnixMs
                || this->formerIncarnations.contains(incarnationUnixMs));
    }

    /// Whether no attempt may start on the worker, because it shuts down or its VM is about to be taken down.
    bool isLeaving() const { return this->info.draining || this->isDrainOrdered || this->isMoveOrdered; }

    /// The worker's clock at `clockReadAt`, in milliseconds.
    std::int64_t clockMs = 0;
    Instant clockReadAt;
    /// When the report was requested that told it.
    Instant clockRequestedAt;
};

} // namespace Greengage
