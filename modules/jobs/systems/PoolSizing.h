#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/model/VmInfo.h>

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace Greengage {

class JobTables;
struct JobSpec;
struct PoolLoad;

/// A decision to move a VM to another pool.
struct MoveOrder {
    VmId vm;
    PoolId from;
    PoolId to;
};

/// Decides which VMs move between pools, and into the spare pool, where they are switched off. A queue can ask for
/// several times the capacity of its pool and be almost idle in between. Therefore VMs move to the pool with waiting or
/// arriving work, and idle VMs that no pool needs are switched off.
class PoolSizing {
public:
    /// Time constant of the exponential average of arriving work. Demand can rise to many times its value from one
    /// moment to the next, and a longer average orders the VMs for it too late.
    static constexpr Milliseconds arrivalWindow { 300 };
    /// How long a pool keeps VMs that it does not need. Its need may return, and a move takes seconds.
    static constexpr Milliseconds idleRetention { 1500 };
    /// The number of VMs that each pool keeps in addition to those for its occupied and waiting demand.
    static constexpr std::int64_t reserveVms = 2;
    /// The demand of arriving work is scaled to this percentage, since it is still rising when it is measured.
    static constexpr std::int64_t arrivalMarginPercent = 115;

    explicit PoolSizing(JobTables& tables)
        : tables(tables)
    {
    }

    /// Records that a job has arrived for a pool.
    void recordArrival(const PoolId&, const JobSpec&, Instant now);

    /// Chooses the VMs to move. They are idle, and no new tasks are placed on them from then on. `incoming` counts the
    /// VMs that are on their way to each pool. VMs in `busy` are on their way or down and do not count for their pool.
    /// VMs in `pinned` count, but cannot be moved now.
    std::vector<MoveOrder> advance(const std::map<VmId, VmInfo>& vms, const std::map<PoolId, std::int64_t>& incoming,
        const std::set<VmId>& busy, const std::set<VmId>& pinned, Instant now, std::int64_t nowUnixMs);

private:
    struct Arrivals {
        /// Thousandths of a core that the work arriving in the window keeps busy.
        double cpuMillis = 0;
        Instant at;
    };

    /// The numbers of VMs that a pool has and requires.
    struct Need {
        std::int64_t current = 0;
        std::int64_t required = 0;
        /// VMs without attempts, which can leave the pool.
        std::vector<VmId> idle;
    };

    double arrivingCpuMillis(const PoolId&, Instant now) const;
    std::map<PoolId, Need> measureNeeds(const std::map<VmId, VmInfo>&, const std::map<PoolId, std::int64_t>& incoming,
        const std::set<VmId>& busy, const std::set<VmId>& pinned, Instant now, std::int64_t nowUnixMs) const;
    /// `capacity` is that of the pool's `vmCount` VMs together.
    std::int64_t requiredVms(
        const PoolId&, const PoolLoad&, std::int64_t vmCount, const ResourceAmount& capacity, Instant now) const;
    bool isIdle(const VmInfo&) const;
    void growPools(std::map<PoolId, Need>&, std::vector<VmId>& spare, const PoolId& sparePool, std::vector<MoveOrder>&);
    void releaseIdleVms(std::map<PoolId, Need>&, const PoolId& sparePool, Instant now, std::vector<MoveOrder>&);

    JobTables& tables;
    std::unordered_map<PoolId, Arrivals> arrivals;
    /// When a pool last required all of its VMs.
    std::unordered_map<PoolId, Instant> lastAllNeededAt;
};

} // namespace Greengage
