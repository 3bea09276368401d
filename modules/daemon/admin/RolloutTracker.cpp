#include <daemon/admin/RolloutTracker.h>

#include <daemon/membership/MemberTable.h>
#include <daemon/peers/PeerTable.h>

#include <algorithm>

namespace Greengage {

namespace {

/// After this time a daemon that was not seen no longer serves keyed queues. It is twice the time for which a
/// confirmation from the store permits keyed work, since a peer may relay a confirmation once.
constexpr Milliseconds unseenDaemonTimeout { 6000 };

} // namespace

RolloutTracker::RolloutTracker(const MemberTable& members, const PeerTable& peers, IncarnationId self)
    : members(members)
    , peers(peers)
    , self(std::move(self))
{
}

std::vector<std::string> RolloutTracker::daemonsBehind(std::uint64_t revision, Instant acceptedAt, Instant now) const
{
    std::vector<std::string> daemons;
    for (const auto& [key, member] : this->members.members()) {
        if (member.incarnation == this->self)
            continue;
        const PeerRecord* peer = this->peers.find(member.incarnation);
        if (peer && peer->state.appliedRevision >= revision)
            continue;
        Instant lastSeen = peer ? std::max(peer->lastSeenAt, acceptedAt) : acceptedAt;
        if (lastSeen + unseenDaemonTimeout > now)
            daemons.push_back(member.daemon.string());
    }
    return daemons;
}

std::uint64_t RolloutTracker::inForceRevision(std::uint64_t appliedRevision, Instant now) const
{
    std::uint64_t lowest = appliedRevision;
    for (const auto& [key, member] : this->members.members()) {
        const PeerRecord* peer = this->peers.find(member.incarnation);
        if (member.incarnation != this->self && peer && peer->lastSeenAt + unseenDaemonTimeout > now)
            lowest = std::min(lowest, peer->state.appliedRevision);
    }
    return lowest;
}

} // namespace Greengage
