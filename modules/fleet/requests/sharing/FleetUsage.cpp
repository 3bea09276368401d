#include <fleet/requests/sharing/FleetUsage.h>

#include <fleet/requests/sharing/LiveDemand.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

FleetUsage::FleetUsage(Tick& tick)
    : tick(tick)
{
    auto add = [&](const QueueId& name, const TeamId& team, int count) {
        const Queue* queue = tick.tables.findQueue(name);
        if (queue && count > 0)
            this->running[ServiceTeam { queue->service, team }] += count;
    };
    for (const auto& [key, line] : tick.tables.lines)
        add(key.queue, key.team, line.running);
    for (const auto* peer : LiveDemand(tick).livePeers()) {
        for (const auto& demand : peer->state.demand)
            add(demand.queue, demand.team, demand.running);
    }
}

void FleetUsage::addStart(const ServiceTeam& key) { this->running[key] += 1; }

double FleetUsage::loadOf(const ServiceTeam& key) const
{
    auto found = this->running.find(key);
    int count = found == this->running.end() ? 0 : found->second;
    const Team* team = this->tick.tables.findTeam(key.team);
    return count / (team ? team->share : 1.0);
}

} // namespace Greengage
