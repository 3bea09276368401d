#pragma once

#include <coordinator/fleet/VmService.h>
#include <coordinator/tests/After.h>
#include <core/time/Deadline.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Greengage {

/// VMs that obey every order at once, and the orders that they were sent. Several daemons share them, each through a
/// FakeFleetLink.
struct FakeFleet {
    struct Order {
        VmId vm;
        std::int64_t token = 0;
        Instant at;
        VmOrderOutcome outcome = VmOrderOutcome::Accepted;
    };

    std::map<VmId, VmInfo> vms;
    std::vector<Order> orders;
};

/// One daemon's access to the VMs.
class FakeFleetLink {
public:
    FakeFleetLink(event_base& base, FakeFleet& fleet)
        : base(base)
        , fleet(fleet)
    {
    }

    /// What the next orders are answered with.
    VmOrderOutcome outcome = VmOrderOutcome::Accepted;
    /// What orders for maintenance are answered with if there is no such VM.
    VmOrderOutcome absentOutcome = VmOrderOutcome::NoSuchVm;
    /// Whether accepted moves are carried out.
    bool isObedient = true;
    /// The next listing lacks these VMs, as when they are missed between two pages.
    std::set<VmId> missedOnce;
    /// Listings fail.
    bool isListFailing = false;
    /// What listings show in place of the fleet as it is now.
    std::optional<std::map<VmId, VmInfo>> oldFleet;

    void list(VmListCallback callback)
    {
        if (this->isListFailing) {
            after(this->base, Milliseconds(1),
                [callback = std::move(callback)] { callback(VmOrderOutcome::Unavailable); });
            return;
        }
        std::vector<VmInfo> listed;
        for (const auto& [id, info] : this->oldFleet.value_or(this->fleet.vms)) {
            if (!this->missedOnce.erase(id))
                listed.push_back(info);
        }
        after(this->base, Milliseconds(1), [callback = std::move(callback), listed] { callback(listed); });
    }

    void beginMaintenance(const VmId& vm, std::int64_t, std::int64_t token, VmOrderCallback callback)
    {
        bool isKnown = this->fleet.vms.contains(vm);
        this->obey(vm, token, isKnown ? this->outcome : this->absentOutcome, std::move(callback));
    }

    void move(const VmId& vm, const PoolId& pool, std::int64_t token, VmOrderCallback callback)
    {
        if (this->outcome == VmOrderOutcome::Accepted && this->isObedient)
            this->fleet.vms.at(vm).pool = pool;
        this->obey(vm, token, this->outcome, std::move(callback));
    }

private:
    void obey(const VmId& vm, std::int64_t token, VmOrderOutcome outcome, VmOrderCallback callback)
    {
        this->fleet.orders.push_back({ vm, token, BootClock::now(), outcome });
        after(this->base, Milliseconds(1), [callback = std::move(callback), outcome] { callback(outcome); });
    }

    event_base& base;
    FakeFleet& fleet;
};

} // namespace Greengage
