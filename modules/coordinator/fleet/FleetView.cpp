#include <coordinator/fleet/FleetView.h>

namespace Greengage {

void FleetView::apply(const std::vector<VmInfo>& vms, Instant requestedAt)
{
    this->listedBefore.clear();
    for (const auto& [id, info] : this->listed)
        this->listedBefore.insert(id);
    this->requestedBefore = this->requestedAt;
    this->listed.clear();
    for (const auto& info : vms)
        this->listed[info.id] = info;
    this->requestedAt = requestedAt;
}

bool FleetView::hasLeft(const VmId& vm, Instant since) const
{
    return this->requestedBefore && *this->requestedBefore > since && !this->listedBefore.contains(vm)
        && !this->listed.contains(vm);
}

} // namespace Greengage
