#include <config/model/Document.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/maintenance/systems/FleetView.h>
#include <fleet/maintenance/systems/OutageTable.h>

#include <unordered_set>

namespace Greengage {

namespace {

template <typename Key> int countOf(const std::map<Key, int>& counts, const Key& key)
{
    auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

OutageTable::OutageTable(Instant now, const FleetView& view, const MaintenanceLedger& ledger)
    : view(view)
{
    std::unordered_set<VmId> planned;
    for (const auto& entry : ledger.vms) {
        planned.insert(entry.vm);
        this->count(entry, 1);
    }
    for (const auto& pool : view.document()->pools) {
        if (pool.service.isEmpty())
            continue;
        for (const auto& vm : pool.vms) {
            if (planned.count(vm) == 0 && !view.isServing(now, vm))
                this->outages[pool.service].outOfService += 1;
        }
    }
}

std::vector<const Service*> OutageTable::servicesOf(const VmMaintenance& entry) const
{
    std::vector<const Service*> services;
    if (const auto* service = this->view.serviceOf(entry.from))
        services.push_back(service);
    const auto* target = this->view.serviceOf(entry.to);
    if (target && (services.empty() || services.front() != target))
        services.push_back(target);
    return services;
}

void OutageTable::count(const VmMaintenance& entry, int change)
{
    for (const auto* service : this->servicesOf(entry)) {
        auto& outage = this->outages[service->name];
        outage.outOfService += change;
        outage.plannedByRack[entry.rack] += change;
        outage.plannedByZone[entry.zone] += change;
    }
}

void OutageTable::add(const VmMaintenance& entry) { this->count(entry, 1); }

void OutageTable::remove(const VmMaintenance& entry) { this->count(entry, -1); }

bool OutageTable::allows(const VmMaintenance& entry) const
{
    for (const auto* service : this->servicesOf(entry)) {
        auto found = this->outages.find(service->name);
        static const ServiceOutage none;
        const auto& outage = found == this->outages.end() ? none : found->second;
        if (outage.outOfService >= service->maxUnavailable)
            return false;
        if (countOf(outage.plannedByRack, entry.rack) >= service->maxUnavailablePerRack)
            return false;
        if (countOf(outage.plannedByZone, entry.zone) >= service->maxUnavailablePerZone)
            return false;
    }
    return true;
}

bool OutageTable::isOverBudget(const VmMaintenance& entry) const
{
    for (const auto* service : this->servicesOf(entry)) {
        auto found = this->outages.find(service->name);
        if (found != this->outages.end() && found->second.outOfService > service->maxUnavailable)
            return true;
    }
    return false;
}

} // namespace Greengage
