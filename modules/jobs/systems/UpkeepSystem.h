#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <jobs/model/MachineFacts.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace Greengage {

class JobBoard;
struct Attempt;
struct UpkeepWave;
struct WorkerRow;

/// Decides which VMs of a wave are emptied next and which are empty enough to be taken down. Lasting tasks leave an
/// emptied VM one by one, as far as their step may miss them; others are given time to end.
class UpkeepSystem {
public:
    /// Tasks that have not ended on an emptied VM after so long are stopped.
    static constexpr Milliseconds patience { 4000 };
    /// The largest part of a pool's workers that is out at a time while the wave is not late, as one in so many.
    static constexpr std::size_t poolPart = 3;

    explicit UpkeepSystem(JobBoard& board)
        : board(board)
    {
    }

    /// Chooses VMs to empty, orders the stops that this takes, and returns the VMs that can be taken down now.
    /// `machines` is the fleet as it was listed last; `mayBeDown` holds VMs that were ordered down since.
    std::vector<VmId> advance(const UpkeepWave&, const std::map<VmId, MachineFacts>& machines,
        const std::map<VmId, Deadline>& mayBeDown, Instant now);

    /// Lets work return to the VMs that are being emptied.
    void release();

private:
    void empty(WorkerRow&, Instant since, Instant now);
    bool mayStop(const Attempt&) const;

    JobBoard& board;
    /// Since when a VM's worker has been emptied.
    std::unordered_map<WorkerId, Instant> emptiedSince;
};

} // namespace Greengage
