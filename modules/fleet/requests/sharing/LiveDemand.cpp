#include <fleet/requests/sharing/LiveDemand.h>

#include <algorithm>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

/// How long a peer's demand counts after it has spoken.
constexpr Milliseconds demandRetention { 3000 };

} // namespace

LiveDemand::LiveDemand(Tick& tick)
    : tick(tick)
{
}

std::vector<const PeerRow*> LiveDemand::livePeers() const
{
    std::vector<const PeerRow*> live;
    for (const auto& [incarnation, peer] : this->tick.tables.peers) {
        bool heard = peer.spokenAt != Instant::min() && this->tick.now - peer.spokenAt < demandRetention;
        if (heard && !peer.state.shuttingDown)
            live.push_back(&peer);
    }
    return live;
}

template <typename Wanted> std::vector<DaemonDemand> LiveDemand::collect(const Wanted& wanted) const
{
    const auto& tables = this->tick.tables;
    std::vector<DaemonDemand> demands;
    DaemonDemand own { tables.self.incarnation };
    for (const auto& [key, line] : tables.lines) {
        if (!wanted(key.queue, key.team))
            continue;
        own.running += line.running;
        own.waiting += line.waiting;
    }
    demands.push_back(own);
    for (const auto* peer : this->livePeers()) {
        DaemonDemand demand { peer->state.incarnation };
        for (const auto& line : peer->state.demand) {
            if (!wanted(line.queue, line.team))
                continue;
            demand.running += line.running;
            demand.waiting += line.waiting;
        }
        demands.push_back(demand);
    }
    std::sort(demands.begin(), demands.end(),
        [](const DaemonDemand& first, const DaemonDemand& second) { return first.incarnation < second.incarnation; });
    return demands;
}

std::vector<DaemonDemand> LiveDemand::ofTeam(const TeamId& team) const
{
    return this->collect([&](const QueueId&, const TeamId& candidate) { return candidate == team; });
}

std::vector<DaemonDemand> LiveDemand::ofService(const ServiceId& service) const
{
    return this->collect([&](const QueueId& name, const TeamId&) {
        const Queue* queue = this->tick.tables.findQueue(name);
        return queue && queue->service == service;
    });
}

} // namespace Greengage
