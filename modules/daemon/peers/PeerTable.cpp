#include <daemon/peers/PeerTable.h>

namespace Greengage {

namespace {

constexpr Seconds retention { 600 };

} // namespace

void PeerTable::record(const PeerState& state, Instant askedAt)
{
    std::erase_if(this->peers, [askedAt](const auto& entry) { return entry.second.lastSeenAt + retention < askedAt; });
    PeerRecord& stored = this->peers[state.incarnation];
    if (askedAt < stored.lastSeenAt)
        return;
    stored = { state, askedAt };
}

const PeerRecord* PeerTable::find(const IncarnationId& incarnation) const
{
    auto found = this->peers.find(incarnation);
    return found == this->peers.end() ? nullptr : &found->second;
}

} // namespace Greengage
