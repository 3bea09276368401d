#include <fleet/requests/freshness/FreshnessFence.h>

#include <algorithm>
#include <fleet/requests/messages/MembersListed.h>
#include <fleet/requests/messages/PeerHeard.h>
#include <fleet/requests/messages/StoreConfirmed.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

/// How long a confirmation from the store or an observation of a peer permits keyed requests.
constexpr Milliseconds freshnessBound { 3000 };
/// How long an incarnation is remembered after it was last seen, if it is not listed.
constexpr Seconds peerRetention { 600 };

Instant instantOf(Instant askedAt, Milliseconds age)
{
    return age == Milliseconds::max() ? Instant::min() : askedAt - age;
}

Instant freshUntil(Instant instant) { return instant == Instant::min() ? instant : instant + freshnessBound; }

} // namespace

FreshnessFence::FreshnessFence(Tick& tick)
    : tick(tick)
{
}

void FreshnessFence::handle(const StoreConfirmed& confirmed)
{
    auto& tables = this->tick.tables;
    tables.knownRevision = std::max(tables.knownRevision, confirmed.documentRevision);
    tables.confirmedAt = std::max(tables.confirmedAt, confirmed.askedAt);
    tables.storeAnsweredAt = std::max(tables.storeAnsweredAt, confirmed.askedAt);
}

void FreshnessFence::handle(const PeerHeard& received)
{
    auto& tables = this->tick.tables;
    const auto& state = received.state;
    if (state.incarnation == tables.self.incarnation)
        return;
    tables.knownRevision = std::max({ tables.knownRevision, state.knownRevision, state.appliedRevision });
    tables.confirmedAt = std::max(tables.confirmedAt, instantOf(received.askedAt, state.confirmationAge));
    auto& peer = tables.peers[state.incarnation];
    peer.zone = state.zone;
    peer.lastSeenAt = std::max(peer.lastSeenAt, received.askedAt);
    if (received.askedAt >= peer.directlySeenAt) {
        peer.directlySeenAt = received.askedAt;
        peer.state = state;
    }
    this->applyObservations(received);
}

void FreshnessFence::applyObservations(const PeerHeard& received)
{
    auto& tables = this->tick.tables;
    for (const auto& sighting : received.state.sightings) {
        if (sighting.incarnation == tables.self.incarnation)
            continue;
        auto& peer = tables.peers[sighting.incarnation];
        peer.zone = sighting.zone;
        peer.lastSeenAt = std::max(peer.lastSeenAt, instantOf(received.askedAt, sighting.age));
    }
}

void FreshnessFence::handle(const MembersListed& listed)
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
    auto forgetBefore = this->tick.now - peerRetention;
    std::erase_if(tables.peers,
        [&](const auto& entry) { return !entry.second.listed && entry.second.lastSeenAt < forgetBefore; });
}

Instant FreshnessFence::zoneContactEnd() const
{
    const auto& tables = this->tick.tables;
    std::map<ZoneId, Instant> lastSeenByZone;
    for (const auto& [incarnation, peer] : tables.peers) {
        if (peer.zone == tables.self.zone)
            continue;
        auto& lastSeenAt = lastSeenByZone.try_emplace(peer.zone, Instant::min()).first->second;
        lastSeenAt = std::max(lastSeenAt, peer.lastSeenAt);
    }
    if (lastSeenByZone.empty())
        return Instant::min();
    auto earliest = Instant::max();
    for (const auto& [zone, lastSeenAt] : lastSeenByZone)
        earliest = std::min(earliest, lastSeenAt);
    return freshUntil(earliest);
}

Instant FreshnessFence::contactEnd() const
{
    return std::max(freshUntil(this->tick.tables.confirmedAt), this->zoneContactEnd());
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
        state.sightings.push_back(PeerSighting { incarnation, peer.zone, this->ageOf(peer.lastSeenAt) });
}

} // namespace Greengage
