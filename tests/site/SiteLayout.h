#pragma once

#include <tests/site/DaemonLocation.h>
#include <tests/site/EndpointLocation.h>
#include <tests/site/PortBlock.h>
#include <tests/site/SitePlan.h>

#include <map>
#include <string>
#include <vector>

namespace Greengage {

/// The addresses and ports of a test site. All daemons use the same ports, each on its own address.
class SiteLayout {
public:
    explicit SiteLayout(const SitePlan&);

    static std::string storeAddress() { return "127.3.0.1"; }
    /// Source address of the callers in a zone.
    static std::string callerAddress(int zone) { return "127.4." + std::to_string(zone) + ".1"; }
    /// Address prefixes of the daemons and of the endpoints in a zone.
    static std::string daemonPrefix(int zone) { return "127.1." + std::to_string(zone) + "."; }
    static std::string endpointPrefix(int zone) { return "127.2." + std::to_string(zone) + "."; }

    std::uint16_t callerPort() const { return this->ports.port(0); }
    std::uint16_t adminPort() const { return this->ports.port(1); }
    std::uint16_t meshPort() const { return this->ports.port(2); }
    std::uint16_t storePort() const { return this->ports.port(3); }
    std::uint16_t storeControlPort() const { return this->ports.port(4); }
    std::uint16_t endpointPort() const { return this->ports.port(5); }
    std::uint16_t minionControlPort() const { return this->ports.port(6); }
    std::uint16_t relayControlPort() const { return this->ports.port(7); }
    std::uint16_t relayedMeshPort() const { return this->ports.port(8); }
    std::uint16_t relayedEndpointPort() const { return this->ports.port(9); }
    std::uint16_t relayedStorePort() const { return this->ports.port(10); }

    const std::vector<DaemonLocation>& daemons() const { return this->daemonLocations; }
    const std::vector<EndpointLocation>& endpoints() const { return this->endpointLocations; }

    /// The VM ids of each service.
    std::map<std::string, std::vector<std::string>> vmsByService() const;

private:
    void placeDaemons(const SitePlan&);
    void placeEndpoints(const SitePlan&);

    PortBlock ports;
    std::vector<DaemonLocation> daemonLocations;
    std::vector<EndpointLocation> endpointLocations;
};

} // namespace Greengage
