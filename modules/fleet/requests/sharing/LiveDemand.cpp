#include <fleet/requests/sharing/LiveDemand.h>

#include <algorithm>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

/// How long a peer's demand counts after its last state message.
constexpr Milliseconds demandRetention { 3000 };

bool isLive(const PeerRow& peer, Instant now)
{
    bool isRecent = peer.directlySeenAt != Instant::min() && now - peer.directlySeenAt < demandRetention;
    return isRecent && !peer.state.shuttingDown;
}

} // namespace

LiveDemand::LiveDemand(const Tick& tick)
{
    const auto& tables = tick.tables;
    std::vector<const PeerRow*> peers;
    this->incarnations.push_back(tables.self.incarnation);
    for (const auto& [incarnation, peer] : tables.peers) {
        if (!isLive(peer, tick.now))
            continue;
        peers.push_back(&peer);
        this->incarnations.push_back(incarnation);
    }
    std::sort(this->incarnations.begin(), this->incarnations.end());
    auto indexOf = [&](const IncarnationId& incarnation) {
        auto found = std::lower_bound(this->incarnations.begin(), this->incarnations.end(), incarnation);
        return static_cast<std::size_t>(found - this->incarnations.begin());
    };
    this->ownPosition = indexOf(tables.self.incarnation);
    for (const auto& [key, entry] : tables.teamQueues)
        this->add(tick, this->ownPosition, key.queue, key.team, entry.running, entry.waiting);
    for (const auto* peer : peers) {
        for (const auto& entry : peer->state.demand)
            this->add(tick, indexOf(peer->state.incarnation), entry.queue, entry.team, entry.running, entry.waiting);
    }
}

std::vector<DaemonDemand> LiveDemand::emptyList() const
{
    std::vector<DaemonDemand> list;
    for (const auto& incarnation : this->incarnations)
        list.push_back(DaemonDemand { incarnation });
    return list;
}

void LiveDemand::add(
    const Tick& tick, std::size_t index, const QueueId& name, const TeamId& team, int running, int waiting)
{
    auto addTo = [&](std::vector<DaemonDemand>& list) {
        if (list.empty())
            list = this->emptyList();
        list[index].running += running;
        list[index].waiting += waiting;
    };
    if (running == 0 && waiting == 0)
        return;
    addTo(this->byTeam[team]);
    const Queue* queue = tick.tables.findQueue(name);
    if (!queue)
        return;
    addTo(this->byService[queue->service]);
    this->runningTotals[ServiceTeam { queue->service, team }] += running;
}

std::vector<DaemonDemand> LiveDemand::ofTeam(const TeamId& team) const
{
    auto found = this->byTeam.find(team);
    return found == this->byTeam.end() ? this->emptyList() : found->second;
}

std::vector<DaemonDemand> LiveDemand::ofService(const ServiceId& service) const
{
    auto found = this->byService.find(service);
    return found == this->byService.end() ? this->emptyList() : found->second;
}

} // namespace Greengage
