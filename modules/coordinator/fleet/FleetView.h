#pragma once

#include <core/time/Instant.h>
#include <jobs/model/VmInfo.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Greengage {

/// The fleet as the latest listing shows it. A listing is old by the time that it arrives, and stays the latest one
/// while listings fail.
class FleetView {
public:
    /// Applies a complete listing that was requested at `requestedAt`.
    void apply(const std::vector<VmInfo>&, Instant requestedAt);

    /// Whether there has been a listing.
    bool isKnown() const { return this->requestedAt.has_value(); }

    /// Whether the latest listing was requested after this time.
    bool isNewerThan(Instant time) const { return this->requestedAt && *this->requestedAt > time; }

    const std::map<VmId, VmInfo>& vms() const { return this->listed; }

    /// Whether the VM, of which an order was received at `since`, has left the fleet: two listings in a row that were
    /// requested later lack it. One alone may miss a VM, since its pages are read at different times.
    bool hasLeft(const VmId&, Instant since) const;

private:
    std::map<VmId, VmInfo> listed;
    std::optional<Instant> requestedAt;
    /// The VMs of the listing before the latest one, and when it was requested.
    std::set<VmId> listedBefore;
    std::optional<Instant> requestedBefore;
};

} // namespace Greengage
