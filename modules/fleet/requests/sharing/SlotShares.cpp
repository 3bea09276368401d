#include <fleet/requests/sharing/SlotShares.h>

#include <algorithm>
#include <fleet/requests/sharing/LiveDemand.h>
#include <fleet/requests/sharing/ProportionalDivision.h>
#include <fleet/requests/tables/RequestTables.h>
#include <numeric>

namespace Greengage {

SlotShares::SlotShares(const Tick& tick, const LiveDemand& demand)
    : tick(tick)
    , demand(demand)
{
}

std::vector<int> SlotShares::divide(int slots, const std::vector<int>& demands)
{
    // A daemon without demand counts as having one request, so that its next one finds a slot.
    std::vector<int> wanted(demands.size());
    std::transform(demands.begin(), demands.end(), wanted.begin(), [](int demand) { return std::max(demand, 1); });
    int total = std::accumulate(wanted.begin(), wanted.end(), 0);
    if (total >= slots)
        return divideByWeight(slots, { wanted.begin(), wanted.end() });
    auto rest = divideByWeight(slots - total, std::vector<double>(wanted.size(), 1.0));
    std::transform(wanted.begin(), wanted.end(), rest.begin(), wanted.begin(), std::plus<>());
    return wanted;
}

int SlotShares::slotsAt(const VmId& endpoint, const ServiceId& service)
{
    if (this->tick.tables.policy.slots == SlotUse::Undivided)
        return slotsPerEndpoint;
    if (!this->shares.contains(service))
        this->divideService(service);
    return this->shares[service][endpoint];
}

int SlotShares::freeAt(const ServiceId& service)
{
    int free = 0;
    for (const auto& [id, endpoint] : this->tick.tables.endpoints) {
        if (endpoint.open && endpoint.service == service)
            free += std::max(0, this->slotsAt(id, service) - endpoint.running);
    }
    return free;
}

void SlotShares::divideService(const ServiceId& service)
{
    const auto& tables = this->tick.tables;
    std::vector<VmId> endpoints;
    for (const auto& [id, endpoint] : tables.endpoints) {
        if (endpoint.open && endpoint.service == service)
            endpoints.push_back(id);
    }
    auto& ownSlots = this->shares[service];
    std::vector<int> demands;
    for (const auto& daemon : this->demand.ofService(service))
        demands.push_back(daemon.running + daemon.waiting);
    auto own = this->demand.ownIndex();
    if (endpoints.empty())
        return;
    auto parts = divide(slotsPerEndpoint * static_cast<int>(endpoints.size()), demands);
    // Slots are numbered round-robin over the endpoints, and each daemon takes the next consecutive range.
    auto first = std::accumulate(parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(own), 0);
    for (int slot = first; slot < first + parts[own]; ++slot)
        ownSlots[endpoints[static_cast<std::size_t>(slot) % endpoints.size()]] += 1;
}

} // namespace Greengage
