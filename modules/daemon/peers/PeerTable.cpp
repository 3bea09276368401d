#include <daemon/peers/PeerTable.h>

namespace Greengage {

namespace {

constexpr Seconds retention { 600 };

} // namespace

void PeerTable::take(const PeerState& state, Instant askedAt)
{
    std::erase_if(this->peers, [askedAt](const auto& entry) { return entry.second.heardAt + retention < askedAt; });
    PeerRecord& record = this->peers[state.incarnation];
    if (askedAt < record.heardAt)
        return;
    record = { state, askedAt };
}

const PeerRecord* PeerTable::find(const IncarnationId& incarnation) const
{
    auto found = this->peers.find(incarnation);
    return found == this->peers.end() ? nullptr : &found->second;
}

} // namespace Greengage
