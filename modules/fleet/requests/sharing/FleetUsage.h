#pragma once

#include <fleet/requests/sharing/ServiceTeam.h>
#include <fleet/requests/tables/Tick.h>

#include <map>

namespace Greengage {

class LiveDemand;

/// Number of running requests of each team at each service in the whole fleet, as far as this daemon knows.
class FleetUsage {
public:
    /// Adds up the running requests of this daemon and those that live peers report.
    FleetUsage(const Tick&, const LiveDemand&);

    /// Records that this daemon has started another request.
    void addStart(const ServiceTeam&);
    /// Running requests of the team at the service, divided by the team's share.
    double loadOf(const ServiceTeam&) const;
    /// Whether the team has more running requests at the service than all other teams together, and others have any.
    bool dominates(const ServiceTeam&) const;

private:
    const Tick& tick;
    std::map<ServiceTeam, int> running;
};

} // namespace Greengage
