#include <daemon/admin/RolloutJudge.h>

#include <daemon/membership/MemberTable.h>
#include <daemon/peers/PeerTable.h>

#include <algorithm>

namespace Greengage {

namespace {

/// Twice the bound for which a confirmation permits keyed work, since a confirmation may be passed on once.
constexpr Milliseconds permissionLapse { 6000 };

} // namespace

RolloutJudge::RolloutJudge(const MemberTable& members, const PeerTable& peers, IncarnationId self)
    : members(members)
    , peers(peers)
    , self(std::move(self))
{
}

std::vector<std::string> RolloutJudge::behind(std::uint64_t revision, Instant acceptedAt, Instant now) const
{
    std::vector<std::string> daemons;
    for (const auto& [key, member] : this->members.members()) {
        if (member.incarnation == this->self)
            continue;
        const PeerRecord* peer = this->peers.find(member.incarnation);
        if (peer && peer->state.appliedRevision >= revision)
            continue;
        Instant lastSign = peer ? std::max(peer->heardAt, acceptedAt) : acceptedAt;
        if (lastSign + permissionLapse > now)
            daemons.push_back(member.daemon.string());
    }
    return daemons;
}

std::uint64_t RolloutJudge::inForceRevision(std::uint64_t appliedRevision, Instant now) const
{
    std::uint64_t lowest = appliedRevision;
    for (const auto& [key, member] : this->members.members()) {
        const PeerRecord* peer = this->peers.find(member.incarnation);
        if (member.incarnation != this->self && peer && peer->heardAt + permissionLapse > now)
            lowest = std::min(lowest, peer->state.appliedRevision);
    }
    return lowest;
}

} // namespace Greengage
