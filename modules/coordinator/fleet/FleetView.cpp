#include <coordinator/fleet/FleetView.h>

#include <utility>

namespace Greengage {

void FleetView::apply(const std::vector<VmInfo>& vms, Instant requestedAt)
{
    this->previous = std::exchange(this->latest, Listing { requestedAt, {}, {}, {}, true });
    std::erase_if(
        this->homes, [requestedAt](const auto& entry) { return entry.second.keptUntil.hasPassed(requestedAt); });
    for (const auto& info : vms) {
        if (info.id.isEmpty()) {
            this->latest->areAllNamed = false;
            continue;
        }
        this->latest->vms[info.id] = info;
        if (!info.isReadable)
            this->latest->unreadable.insert(info.id);
        if (!info.worker.isEmpty()) {
            this->latest->workers.insert(info.worker);
            this->recordHome(info, requestedAt);
        }
    }
}

bool FleetView::isUnlisted(const VmId& vm, Instant since) const
{
    return this->previous && this->previous->requestedAt > since && this->previous->lacks(vm)
        && this->latest->lacks(vm);
}

bool FleetView::mayRunOnUnlisted(const WorkerId& worker, const VmId& vm) const
{
    if (this->latest->workers.contains(worker))
        return false;
    auto found = this->homes.find(worker);
    return found == this->homes.end() || found->second.vm.isEmpty() || found->second.vm == vm;
}

bool FleetView::hasWorkerEnded(const WorkerId& worker, Instant since) const
{
    auto found = this->homes.find(worker);
    VmId home = found == this->homes.end() ? VmId() : found->second.vm;
    return this->previous && this->previous->requestedAt > since && this->previous->showsEndOf(worker, home)
        && this->latest->showsEndOf(worker, home);
}

void FleetView::recordHome(const VmInfo& info, Instant requestedAt)
{
    auto& home = this->homes.try_emplace(info.worker, Home { info.id, {} }).first->second;
    if (home.vm != info.id)
        home.vm = VmId();
    home.keptUntil = Deadline::after(requestedAt, homeRetention);
}

bool FleetView::Listing::showsEndOf(const WorkerId& worker, const VmId& home) const
{
    if (this->vms.empty() || this->workers.contains(worker))
        return false;
    if (this->areAllNamed && this->unreadable.empty())
        return true;
    // A worker stays on its VM, so that no other row can be that of its VM once it is listed.
    return !home.isEmpty() && !this->unreadable.contains(home) && (this->areAllNamed || this->vms.contains(home));
}

} // namespace Greengage
