#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/model/MachineFacts.h>

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace Greengage {

class JobBoard;
struct JobSpec;
struct PoolLoad;

/// A decision to put a VM into another pool.
struct MoveOrder {
    VmId machine;
    PoolId from;
    PoolId to;
};

/// Decides which VMs move between pools, and into the spare pool, where they are off. It answers a load in which each
/// queue in turn asks for several times what its pool holds and is all but idle in between: VMs go to the pool whose
/// work waits or is about to, and empty VMs that nothing needs are switched off.
class PoolSizing {
public:
    /// Arrivals are averaged over about this span.
    static constexpr Milliseconds arrivalWindow { 1000 };
    /// A pool keeps VMs that it does not need for so long, since its need may come back and a move takes seconds.
    static constexpr Milliseconds keepIdleFor { 1500 };
    /// Every pool keeps room for this many VMs beyond what is occupied or waits.
    static constexpr std::int64_t reserveMachines = 2;
    /// The arriving work's need is taken this much higher, in hundredths, since it is still rising when it is measured.
    static constexpr std::int64_t arrivalMarginPercent = 115;

    explicit PoolSizing(JobBoard& board)
        : board(board)
    {
    }

    /// A job has come to a pool.
    void noteArrival(const PoolId&, const JobSpec&, Instant now);

    /// Chooses VMs to move. Their workers get no new tasks from then on, and are empty. `incoming` counts the VMs that
    /// are on their way to a pool; VMs in `busy` are left alone.
    std::vector<MoveOrder> advance(const std::map<VmId, MachineFacts>& machines,
        const std::map<PoolId, std::int64_t>& incoming, const std::set<VmId>& busy, Instant now,
        std::int64_t nowUnixMs);

private:
    struct Arrivals {
        /// Thousandths of a core that the work arriving in the window keeps busy.
        double cpuMillis = 0;
        Instant at;
    };

    /// What a pool has and needs, in VMs.
    struct Need {
        std::int64_t has = 0;
        std::int64_t wants = 0;
        /// Empty VMs that can leave.
        std::vector<VmId> idle;
    };

    double arrivingCpuMillis(const PoolId&, Instant now) const;
    std::map<PoolId, Need> measureNeeds(const std::map<VmId, MachineFacts>&,
        const std::map<PoolId, std::int64_t>& incoming, const std::set<VmId>& busy, Instant now,
        std::int64_t nowUnixMs) const;
    std::int64_t wantedMachines(const PoolId&, const PoolLoad&, std::int64_t machineCpuMillis, Instant now) const;
    bool isEmpty(const MachineFacts&) const;
    void fill(std::map<PoolId, Need>&, std::vector<VmId>& spare, const PoolId& sparePool, std::vector<MoveOrder>&);
    void park(std::map<PoolId, Need>&, const PoolId& sparePool, Instant now, std::vector<MoveOrder>&);

    JobBoard& board;
    std::unordered_map<PoolId, Arrivals> arrivals;
    /// When a pool last needed all that it has.
    std::unordered_map<PoolId, Instant> neededAllAt;
};

} // namespace Greengage
