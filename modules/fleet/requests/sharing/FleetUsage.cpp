#include <fleet/requests/sharing/FleetUsage.h>

#include <fleet/requests/sharing/LiveDemand.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

FleetUsage::FleetUsage(const Tick& tick, const LiveDemand& demand)
    : tick(tick)
    , running(demand.running())
{
}

void FleetUsage::addStart(const ServiceTeam& key) { this->running[key] += 1; }

double FleetUsage::loadOf(const ServiceTeam& key) const
{
    auto found = this->running.find(key);
    int count = found == this->running.end() ? 0 : found->second;
    const Team* team = this->tick.tables.findTeam(key.team);
    return count / (team ? team->share : 1.0);
}

bool FleetUsage::dominates(const ServiceTeam& key) const
{
    int own = 0;
    int others = 0;
    for (const auto& [other, count] : this->running) {
        if (other.service == key.service)
            (other.team == key.team ? own : others) += count;
    }
    return others > 0 && own > others;
}

} // namespace Greengage
