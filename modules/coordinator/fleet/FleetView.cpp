#include <coordinator/fleet/FleetView.h>

#include <utility>

namespace Greengage {

void FleetView::apply(const std::vector<VmInfo>& vms, Instant requestedAt)
{
    this->previous = std::exchange(this->latest, Listing { requestedAt, {}, {}, true });
    for (const auto& info : vms) {
        this->latest->vms[info.id] = info;
        this->latest->isReadable = this->latest->isReadable && info.isReadable;
        if (!info.worker.isEmpty())
            this->latest->workers.insert(info.worker);
    }
}

bool FleetView::hasLeft(const VmId& vm, Instant since) const
{
    return this->previous && this->previous->requestedAt > since && !this->previous->vms.contains(vm)
        && !this->latest->vms.contains(vm);
}

bool FleetView::hasWorkerEnded(const WorkerId& worker, Instant since) const
{
    return this->previous && this->previous->requestedAt > since && this->previous->showsEndOf(worker)
        && this->latest->showsEndOf(worker);
}

bool FleetView::Listing::showsEndOf(const WorkerId& worker) const
{
    return this->isReadable && !this->vms.empty() && !this->workers.contains(worker);
}

} // namespace Greengage
