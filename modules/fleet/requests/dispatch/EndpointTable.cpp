#include <fleet/requests/dispatch/EndpointTable.h>

#include <fleet/requests/messages/EndpointsListed.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

EndpointTable::EndpointTable(Tick& tick)
    : tick(tick)
{
}

void EndpointTable::handle(const EndpointsListed& listed)
{
    auto& endpoints = this->tick.tables.endpoints;
    this->tick.tables.endpointsKnown = true;
    this->tick.tables.ledgerRevision = listed.ledgerRevision;
    for (auto& [id, endpoint] : endpoints) {
        endpoint.listed = false;
        endpoint.open = false;
    }
    for (const auto& vm : listed.vms) {
        auto& row = endpoints[vm.id];
        row.id = vm.id;
        row.address = vm.address;
        row.port = vm.port;
        row.zone = vm.zone;
        row.listed = true;
        row.draining = listed.draining.contains(vm.id);
        row.open = vm.state == VmState::Live && !row.draining;
    }
    std::erase_if(endpoints, [](const auto& entry) { return !entry.second.listed && entry.second.running == 0; });
    this->assignServices();
}

void EndpointTable::assignServices()
{
    auto& tables = this->tick.tables;
    for (auto& [id, endpoint] : tables.endpoints)
        endpoint.service = ServiceId();
    if (!tables.document)
        return;
    for (const auto& pool : tables.document->pools) {
        for (const auto& vm : pool.vms) {
            auto found = tables.endpoints.find(vm);
            if (found != tables.endpoints.end())
                found->second.service = pool.service;
        }
    }
}

} // namespace Greengage
