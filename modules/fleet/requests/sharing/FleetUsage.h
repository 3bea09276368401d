#pragma once

#include <fleet/requests/sharing/ServiceTeam.h>
#include <fleet/requests/tables/Tick.h>

#include <map>

namespace Greengage {

class LiveDemand;

/// How much of each service every team uses in the whole fleet, as far as this daemon knows.
class FleetUsage {
public:
    /// Adds up the lines of this daemon and the demand that live peers have told of.
    FleetUsage(const Tick&, const LiveDemand&);

    /// Notes that one more request has been started here.
    void addStart(const ServiceTeam&);
    /// Running requests of the team at the service, for each unit of its share.
    double loadOf(const ServiceTeam&) const;
    /// Whether the team runs more than all others at the service together, and others run there too.
    bool dominates(const ServiceTeam&) const;

private:
    const Tick& tick;
    std::map<ServiceTeam, int> running;
};

} // namespace Greengage
