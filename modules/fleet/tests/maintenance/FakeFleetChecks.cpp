#include "FakeFleet.h"

#include <algorithm>

namespace Greengage {

namespace {

/// After this time a failed VM must count as out of service: answers are valid for 4 s, and a write may take effect 3 s
/// late.
constexpr Seconds detectionBound(8);

} // namespace

void FakeFleet::reportViolation(const std::string& what)
{
    if (this->violations.size() < 5)
        this->violations.push_back("t=" + std::to_string(this->elapsed().count()) + "s " + what);
}

const Pool* FakeFleet::poolOf(const VmId& vm) const
{
    for (const auto& pool : this->newestDocument->pools) {
        if (std::find(pool.vms.begin(), pool.vms.end(), vm) != pool.vms.end())
            return &pool;
    }
    return nullptr;
}

void FakeFleet::checkWrite(const MaintenanceLedger& before, const MaintenanceLedger& after)
{
    std::map<ServiceId, std::set<VmId>> planned;
    std::map<std::pair<ServiceId, std::string>, int> places;
    std::set<ServiceId> starting;
    const auto& budget = this->newestDocument->services[0];
    for (const auto& entry : after.vms) {
        for (const auto& pool : this->newestDocument->pools) {
            if ((pool.name != entry.from && pool.name != entry.to) || pool.service.isEmpty())
                continue;
            planned[pool.service].insert(entry.vm);
            if (!before.find(entry.vm))
                starting.insert(pool.service);
            const auto& record = this->vms.at(entry.vm).record;
            if (++places[{ pool.service, record.zone.string() }] > budget.maxUnavailablePerZone)
                this->reportViolation("too many VMs of " + pool.service.string() + " out of service in one zone");
            if (++places[{ pool.service, record.rack.string() }] > budget.maxUnavailablePerRack)
                this->reportViolation("too many VMs of " + pool.service.string() + " out of service in one rack");
        }
    }
    if (after.vms.size() > static_cast<std::size_t>(this->newestDocument->waves[0].maxConcurrent))
        this->reportViolation("wave has too many VMs out of service");
    for (const auto& service : starting) {
        auto out = planned[service];
        for (const auto& [id, vm] : this->vms) {
            const auto* pool = this->poolOf(id);
            if (pool && pool->service == service && vm.downSince < this->now - detectionBound)
                out.insert(id);
        }
        if (out.size() > static_cast<std::size_t>(budget.maxUnavailable))
            this->reportViolation(
                "drain started in " + service.string() + " with " + std::to_string(out.size()) + " VMs out of service");
    }
}

void FakeFleet::checkDocument()
{
    std::map<VmId, int> counts;
    for (const auto& pool : this->newestDocument->pools) {
        for (const auto& vm : pool.vms)
            counts[vm]++;
    }
    for (const auto& [id, vm] : this->vms) {
        if (counts[id] != 1)
            this->reportViolation(id.string() + " is listed in " + std::to_string(counts[id]) + " pools");
    }
}

} // namespace Greengage
