#pragma once

#include <core/time/Instant.h>
#include <jobs/model/VmInfo.h>

#include <map>
#include <optional>
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

    /// Whether the VM, of which an order was received at `since`, has left the fleet: two listings in a row that were
    /// requested later lack it. One alone may miss a VM, since its pages are read at different times.
    bool hasLeft(const VmId&, Instant since) const;

    /// Whether the worker has ended with its VM: two listings in a row that were requested after `since` show no VM on
    /// which it runs. A worker that is only cut off stays listed. A listing without VMs, or with a VM that could not be
    /// read, tells nothing.
    bool hasWorkerEnded(const WorkerId&, Instant since) const;

private:
    struct Listing {
        Instant requestedAt;
        std::map<VmId, VmInfo> vms;
        std::unordered_set<WorkerId> workers;
        bool isReadable = true;

        bool showsEndOf(const WorkerId&) const;
    };

    std::optional<Listing> latest;
    std::optional<Listing> previous;
};

} // namespace Greengage
