#pragma once

#include <core/time/Deadline.h>
#include <jobs/model/VmInfo.h>

#include <map>

namespace Greengage {

class JobTables;

/// Keeps the workers of VMs that were ordered into another pool free of new tasks, until it is known what became of the
/// order. An order without an answer may have had no effect, which only a later listing of the fleet shows.
class MoveTracker {
public:
    explicit MoveTracker(JobTables& tables)
        : tables(tables)
    {
    }

    /// The VM, listed like this, is about to be ordered into another pool.
    void begin(const VmInfo&);

    /// The order had no effect: the worker accepts tasks again.
    void cancel(const VmId&);

    /// The order was accepted or may have been; after the deadline it can take effect no more.
    void settleBy(const VmId&, Deadline);

    /// Ends the moves of which a listing, requested at `requestedAt`, shows what became.
    void settle(const std::map<VmId, VmInfo>& vms, Instant requestedAt);

private:
    struct Move {
        PoolId from;
        WorkerId worker;
        /// When the order can take effect no more.
        Deadline settled;
    };

    void release(const Move&);

    JobTables& tables;
    std::map<VmId, Move> moves;
};

} // namespace Greengage
