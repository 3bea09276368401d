#include <fleet/requests/freshness/FreshnessFence.h>

#include <algorithm>
#include <fleet/requests/messages/MembersListed.h>
#include <fleet/requests/messages/PeerHeard.h>
#include <fleet/requests/messages/StoreConfirmed.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

/// How long a confirmation or a peer's sign of life permits keyed work.
constexpr Milliseconds freshnessBound { 3000 };
/// How long an incarnation that is neither listed nor heard is remembered.
constexpr Seconds peerRetention { 600 };

Instant instantOf(Instant askedAt, Milliseconds age)
{
    return age == Milliseconds::max() ? Instant::min() : askedAt - age;
}

Instant withBound(Instant instant) { return instant == Instant::min() ? instant : instant + freshnessBound; }

} // namespace

FreshnessFence::FreshnessFence(Tick& tick)
    : tick(tick)
{
}

void FreshnessFence::take(const StoreConfirmed& confirmed)
{
    auto& tables = this->tick.tables;
    tables.knownRevision = std::max(tables.knownRevision, confirmed.documentRevision);
    tables.confirmedAt = std::max(tables.confirmedAt, confirmed.askedAt);
    tables.storeAnsweredAt = std::max(tables.storeAnsweredAt, confirmed.askedAt);
}

void FreshnessFence::take(const PeerHeard& heard)
{
    auto& tables = this->tick.tables;
    const auto& state = heard.state;
    if (state.incarnation == tables.self.incarnation)
        return;
    tables.knownRevision = std::max({ tables.knownRevision, state.knownRevision, state.appliedRevision });
    tables.confirmedAt = std::max(tables.confirmedAt, instantOf(heard.askedAt, state.confirmationAge));
    auto& peer = tables.peers[state.incarnation];
    peer.zone = state.zone;
    peer.heardAt = std::max(peer.heardAt, heard.askedAt);
    if (heard.askedAt >= peer.spokenAt) {
        peer.spokenAt = heard.askedAt;
        peer.state = state;
    }
    this->takeSightings(heard);
}

void FreshnessFence::takeSightings(const PeerHeard& heard)
{
    auto& tables = this->tick.tables;
    for (const auto& sighting : heard.state.sightings) {
        if (sighting.incarnation == tables.self.incarnation)
            continue;
        auto& peer = tables.peers[sighting.incarnation];
        peer.zone = sighting.zone;
        peer.heardAt = std::max(peer.heardAt, instantOf(heard.askedAt, sighting.age));
    }
}

void FreshnessFence::take(const MembersListed& listed)
{
    auto& tables = this->tick.tables;
    tables.membersKnown = true;
    for (auto& [incarnation, peer] : tables.peers)
        peer.listed = false;
    for (const auto& member : listed.members) {
        if (member.incarnation == tables.self.incarnation)
            continue;
        auto& peer = tables.peers[member.incarnation];
        peer.zone = member.zone;
        peer.listed = true;
    }
    auto forgotten = this->tick.now - peerRetention;
    std::erase_if(
        tables.peers, [&](const auto& entry) { return !entry.second.listed && entry.second.heardAt < forgotten; });
}

Instant FreshnessFence::zonesHeardUntil() const
{
    const auto& tables = this->tick.tables;
    std::map<ZoneId, Instant> heardByZone;
    for (const auto& [incarnation, peer] : tables.peers) {
        if (peer.zone == tables.self.zone)
            continue;
        auto& heardAt = heardByZone.try_emplace(peer.zone, Instant::min()).first->second;
        heardAt = std::max(heardAt, peer.heardAt);
    }
    if (heardByZone.empty())
        return Instant::min();
    auto earliest = Instant::max();
    for (const auto& [zone, heardAt] : heardByZone)
        earliest = std::min(earliest, heardAt);
    return withBound(earliest);
}

Instant FreshnessFence::contactEnd() const
{
    return std::max(withBound(this->tick.tables.confirmedAt), this->zonesHeardUntil());
}

Instant FreshnessFence::permissionEnd() const
{
    const auto& tables = this->tick.tables;
    if (!tables.document || tables.document->revision < tables.knownRevision)
        return Instant::min();
    return this->contactEnd();
}

Milliseconds FreshnessFence::ageOf(Instant instant) const
{
    if (instant == Instant::min())
        return Milliseconds::max();
    return std::max(Milliseconds::zero(), std::chrono::ceil<Milliseconds>(this->tick.now - instant));
}

void FreshnessFence::describe(PeerState& state) const
{
    const auto& tables = this->tick.tables;
    state.appliedRevision = tables.document ? tables.document->revision : 0;
    state.knownRevision = std::max(tables.knownRevision, state.appliedRevision);
    state.confirmationAge = this->ageOf(tables.confirmedAt);
    for (const auto& [incarnation, peer] : tables.peers)
        state.sightings.push_back(PeerSighting { incarnation, peer.zone, this->ageOf(peer.heardAt) });
}

} // namespace Greengage
