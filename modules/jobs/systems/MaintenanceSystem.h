#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <jobs/model/TaskName.h>
#include <jobs/model/VmInfo.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace Greengage {

class JobTables;
struct Attempt;
struct JobRow;
struct MaintenanceWave;
struct StepRow;
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
    /// From a long-running task that has waited this long, no drain withholds room for more than a moment: it is
    /// finished sooner, or given up.
    static constexpr Milliseconds longestWaitForDrain { 4000 };
    /// The timeout of such a drain for tasks that have not ended.
    static constexpr Milliseconds urgentDrainTimeout { 1000 };
    /// Such a drain is given up after this time if it waits for long-running tasks that may not be stopped now.
    static constexpr Milliseconds blockedDrainTimeout { 2000 };
    /// How long a VM whose drain was given up is not drained again.
    static constexpr Milliseconds drainPause { 8000 };

    explicit MaintenanceSystem(JobTables& tables)
        : tables(tables)
    {
    }

    /// Chooses VMs to drain, marks attempts on them to be stopped, and returns the VMs that can be taken down now.
    /// Unlisted VMs come last and have nothing to drain. `vms` is the fleet as listed last; `mayBeDown` holds the VMs
    /// that were ordered down since. The drain of a VM that is back after its maintenance ends, also if its worker has
    /// started again under the same id.
    std::vector<VmId> advance(const MaintenanceWave&, const std::map<VmId, VmInfo>& vms,
        const std::map<VmId, Deadline>& mayBeDown, Instant now);

    /// The workers whose drains the last `advance` gave up, since long-running tasks had room nowhere else.
    const std::vector<WorkerId>& drainsGivenUp() const { return this->givenUp; }

    /// Ends all drains, so that attempts can be placed on these VMs again.
    void endDrains();

private:
    struct Drain {
        VmId vm;
        Instant since;
        bool isUrgent = false;
    };

    /// Ends the drains of VMs that are not part of the wave, unless they may go down by an order.
    void endOtherDrains(const MaintenanceWave&, const std::map<VmId, Deadline>& mayBeDown);
    void drain(WorkerRow&, const Drain&, Instant now);
    /// Speeds up or gives up the drains that withhold room from long-running tasks.
    void limitDrains(Instant now);
    void limitDrainsFor(const JobRow&, const TaskName& step, const StepRow&,
        const std::map<TaskName, Instant>& earlierWaitingSince, Instant now);
    void limitDrainsFor(const JobRow&, const TaskName&, Instant now);
    bool isBlocked(const WorkerRow&) const;
    bool isDrainPaused(const WorkerRow&, Instant now) const;
    void endDrain(WorkerRow&);
    bool canStop(const Attempt&) const;

    JobTables& tables;
    std::unordered_map<WorkerId, Drain> drains;
    std::unordered_map<WorkerId, Deadline> drainPausedUntil;
    std::vector<WorkerId> givenUp;
    /// Since when each long-running task without an attempt has waited.
    std::map<TaskName, Instant> waitingSince;
};

} // namespace Greengage
