#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <jobs/model/VmInfo.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace Greengage {

class JobTables;
struct Attempt;
struct MaintenanceWave;
struct WorkerRow;

/// Decides which VMs of a maintenance wave are drained next, and which can be taken down. Long-running tasks leave a
/// draining VM gradually, within the number that their step allows to be unavailable. Other tasks get time to end.
class MaintenanceSystem {
public:
    /// Tasks that have not ended this long after the start of the drain are stopped.
    static constexpr Milliseconds drainTimeout { 4000 };
    /// While the wave is not late, at most one VM in this many of a pool is unavailable at a time, but always at least
    /// one.
    static constexpr std::size_t poolDivisor = 3;

    explicit MaintenanceSystem(JobTables& tables)
        : tables(tables)
    {
    }

    /// Chooses VMs to drain, marks attempts on them to be stopped, and returns the VMs that can be taken down now.
    /// `vms` is the fleet as listed last; `mayBeDown` holds the VMs that were ordered down since. The drain of a VM
    /// that is back after its maintenance ends, also if its worker has started again under the same id.
    std::vector<VmId> advance(const MaintenanceWave&, const std::map<VmId, VmInfo>& vms,
        const std::map<VmId, Deadline>& mayBeDown, Instant now);

    /// Ends all drains, so that attempts can be placed on these VMs again.
    void endDrains();

private:
    void drain(WorkerRow&, Instant since, Instant now);
    void endDrain(WorkerRow&);
    bool canStop(const Attempt&) const;

    JobTables& tables;
    /// When the drain of each worker began.
    std::unordered_map<WorkerId, Instant> drainStartedAt;
};

} // namespace Greengage
