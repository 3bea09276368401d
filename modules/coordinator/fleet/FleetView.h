#pragma once

#include <core/time/Deadline.h>
#include <jobs/model/VmInfo.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

namespace Greengage {

/// The fleet as the latest listing shows it. A listing is old by the time that it arrives, and stays the latest one
/// while listings fail.
class FleetView {
public:
    /// Applies a complete listing that was requested at `requestedAt`.
    void apply(const std::vector<VmInfo>&, Instant requestedAt);

    /// Whether there has been a listing.
    bool isKnown() const { return this->latest.has_value(); }

    /// Whether the latest listing was requested after this time.
    bool isNewerThan(Instant time) const { return this->latest && this->latest->requestedAt > time; }

    /// The VMs of the latest listing. There has to be one.
    const std::map<VmId, VmInfo>& vms() const { return this->latest->vms; }

    /// Whether two listings in a row that were requested after `since` lack the VM. One alone may miss a VM, since its
    /// pages are read at different times. A row that does not show its VM may be that of any.
    bool isUnlisted(const VmId&, Instant since) const;

    /// Whether the worker may run on this VM, which the latest listing lacks: neither that listing nor an earlier one
    /// shows it on another VM.
    bool mayRunOnUnlisted(const WorkerId&, const VmId&) const;

    /// Whether the worker has ended with its VM: two listings in a row that were requested after `since` show no VM on
    /// which it runs. A worker that is only cut off stays listed. A listing without VMs tells nothing, and neither does
    /// one with a row that could not be read, unless that row is certainly not the one of the VM on which earlier
    /// listings showed the worker: a worker stays on its VM.
    bool hasWorkerEnded(const WorkerId&, Instant since) const;

private:
    struct Listing {
        Instant requestedAt;
        std::map<VmId, VmInfo> vms;
        std::unordered_set<WorkerId> workers;
        /// VMs of which no more than the id could be read.
        std::set<VmId> unreadable;
        /// Whether each row shows its VM.
        bool areAllNamed = true;

        /// `home` is the VM on which the worker runs, empty if that is not known.
        bool showsEndOf(const WorkerId&, const VmId& home) const;
        bool lacks(const VmId& vm) const { return this->areAllNamed && !this->vms.contains(vm); }
    };

    /// The VM on which a worker was listed.
    struct Home {
        /// Empty if it was listed on several.
        VmId vm;
        Deadline keptUntil;
    };

    /// How long a worker's VM is remembered after the worker was last listed: longer than any of its leases.
    static constexpr Seconds homeRetention { 60 };

    void recordHome(const VmInfo&, Instant requestedAt);

    std::optional<Listing> latest;
    std::optional<Listing> previous;
    std::map<WorkerId, Home> homes;
};

} // namespace Greengage
