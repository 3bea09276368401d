#include <tests/site/SiteLayout.h>

namespace Greengage {

namespace {

constexpr int endpointsPerRack = 4;

} // namespace

SiteLayout::SiteLayout(const SitePlan& plan)
{
    this->placeDaemons(plan);
    this->placeEndpoints(plan);
}

void SiteLayout::placeDaemons(const SitePlan& plan)
{
    std::map<int, int> countOfZone;
    for (int zone : plan.daemonZones) {
        int host = ++countOfZone[zone];
        auto name = "daemon-" + std::to_string(zone) + "-" + std::to_string(host);
        this->daemonLocations.push_back({ name, SiteLayout::daemonPrefix(zone) + std::to_string(host), zone });
    }
}

void SiteLayout::placeEndpoints(const SitePlan& plan)
{
    std::map<int, int> countOfZone;
    for (const auto& service : plan.services) {
        for (int index = 0; index < service.endpoints; ++index) {
            int zone = index % plan.zones + 1;
            int host = ++countOfZone[zone];
            auto rack = "rack-" + std::to_string(zone) + "-" + std::to_string(host / endpointsPerRack);
            this->endpointLocations.push_back({ service.service + "-" + std::to_string(index + 1), service.service,
                SiteLayout::endpointPrefix(zone) + std::to_string(host), rack, zone });
        }
    }
}

std::map<std::string, std::vector<std::string>> SiteLayout::vmsByService() const
{
    std::map<std::string, std::vector<std::string>> vms;
    for (const auto& location : this->endpointLocations)
        vms[location.service].push_back(location.vm);
    return vms;
}

} // namespace Greengage
