#include <fleet/requests/dispatch/EndpointSelection.h>

#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

constexpr int slotsPerEndpoint = 8;

} // namespace

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
    bool near = endpoint.zone == zone;
    bool bestNear = best.zone == zone;
    if (near != bestNear)
        return near;
    return endpoint.running < best.running;
}

EndpointRow* EndpointSelection::choose(const RequestRow& row) const
{
    EndpointRow* best = nullptr;
    for (auto& [id, endpoint] : this->tick.tables.endpoints) {
        if (!this->isCandidate(endpoint, row) || endpoint.running >= slotsPerEndpoint)
            continue;
        if (!best || this->isBetter(endpoint, *best))
            best = &endpoint;
    }
    return best;
}

bool EndpointSelection::hasCandidate(const RequestRow& row) const
{
    for (const auto& [id, endpoint] : this->tick.tables.endpoints) {
        if (this->isCandidate(endpoint, row))
            return true;
    }
    return false;
}

} // namespace Greengage
