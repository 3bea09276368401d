#include <fleet/requests/dispatch/EndpointSelection.h>

#include <algorithm>
#include <fleet/requests/attempts/EndpointHealth.h>
#include <fleet/requests/sharing/SlotShares.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

EndpointSelection::EndpointSelection(Tick& tick)
    : tick(tick)
{
}

bool EndpointSelection::isCandidate(const EndpointRow& endpoint, const RequestRow& row) const
{
    return endpoint.open && endpoint.service == row.service && !row.tried.contains(endpoint.id);
}

bool EndpointSelection::isBetter(const EndpointRow& endpoint, const EndpointRow& best) const
{
    const auto& zone = this->tick.tables.self.zone;
    bool sameZone = endpoint.zone == zone;
    bool bestSameZone = best.zone == zone;
    if (sameZone != bestSameZone)
        return sameZone;
    return endpoint.running < best.running;
}

EndpointRow* EndpointSelection::choose(const RequestRow& row, SlotShares& slots) const
{
    EndpointRow* best = nullptr;
    bool anyHealthy = false;
    for (auto& [id, endpoint] : this->tick.tables.endpoints) {
        if (!this->isCandidate(endpoint, row))
            continue;
        EndpointHealth health(endpoint, this->tick.now);
        anyHealthy = anyHealthy || health.isHealthy();
        if (endpoint.running >= slots.slotsAt(id, row.service) || !health.isAvailable())
            continue;
        if (!best || this->isBetter(endpoint, *best))
            best = &endpoint;
    }
    return best || anyHealthy ? best : this->fewestFailures(row, slots);
}

EndpointRow* EndpointSelection::fewestFailures(const RequestRow& row, SlotShares& slots) const
{
    EndpointRow* best = nullptr;
    for (auto& [id, endpoint] : this->tick.tables.endpoints) {
        if (!this->isCandidate(endpoint, row) || endpoint.running >= slots.slotsAt(id, row.service))
            continue;
        if (!best || endpoint.consecutiveFailures < best->consecutiveFailures)
            best = &endpoint;
    }
    return best;
}

int EndpointSelection::countCandidates(const RequestRow& row) const
{
    const auto& endpoints = this->tick.tables.endpoints;
    return static_cast<int>(std::count_if(
        endpoints.begin(), endpoints.end(), [&](const auto& entry) { return this->isCandidate(entry.second, row); }));
}

} // namespace Greengage
