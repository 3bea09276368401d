#include <config/model/Document.h>
#include <fleet/maintenance/ledger/VmMaintenance.h>
#include <fleet/maintenance/systems/FleetView.h>
#include <fleet/requests/messages/DocumentApplied.h>
#include <fleet/requests/messages/EndpointsListed.h>
#include <fleet/requests/messages/MembersListed.h>
#include <fleet/requests/messages/PeerHeard.h>
#include <fleet/requests/messages/RunningReported.h>

#include <algorithm>

namespace Greengage {

namespace {

/// How long an answer of a VM counts as evidence that it is serving.
constexpr Seconds vmObservationLifetime(4);
/// How long a peer's state remains valid.
constexpr Seconds peerStateLifetime(3);
/// How long a read of the platform's list or of the membership remains valid.
constexpr Seconds listLifetime(15);
/// How long a daemon that is no longer listed may still act on its last known state.
constexpr Seconds departedMemberLifetime(15);

bool isWithin(Instant now, Instant then, Microseconds lifetime)
{
    return then != Instant::min() && now - then < lifetime;
}

template <typename Key, typename Value> Value findValue(const std::unordered_map<Key, Value>& table, const Key& key)
{
    auto found = table.find(key);
    return found == table.end() ? Value {} : found->second;
}

template <typename Key, typename Value>
const Value* findEntry(const std::unordered_map<Key, Value>& table, const Key& key)
{
    auto found = table.find(key);
    return found == table.end() ? nullptr : &found->second;
}

} // namespace

void FleetView::apply(Instant now, const DocumentApplied& applied)
{
    if (this->currentDocument && applied.document->revision <= this->currentDocument->revision)
        return;
    this->currentDocument = applied.document;
    this->documentAt = now;
    this->pools.clear();
    this->poolsByName.clear();
    this->services.clear();
    for (const auto& service : this->currentDocument->services)
        this->services[service.name] = &service;
    for (const auto& pool : this->currentDocument->pools) {
        this->poolsByName[pool.name] = &pool;
        for (const auto& vm : pool.vms)
            this->pools[vm] = &pool;
    }
}

void FleetView::apply(Instant now, const EndpointsListed& listed)
{
    this->listedAt = now;
    this->records.clear();
    for (const auto& record : listed.vms)
        this->records[record.id] = record;
    std::erase_if(this->observations, [&](const auto& entry) { return this->records.count(entry.first) == 0; });
}

void FleetView::apply(Instant now, const MembersListed& listed)
{
    this->membersAt = now;
    for (const auto& member : listed.members) {
        auto& observation = this->members[member.incarnation];
        observation.zone = member.zone;
        observation.listedAt = now;
    }
}

void FleetView::apply(Instant, const PeerHeard& peer)
{
    auto& observation = this->members[peer.state.incarnation];
    if (peer.askedAt < observation.stateAskedAt)
        return;
    observation.zone = peer.state.zone;
    observation.stateAskedAt = peer.askedAt;
    observation.state = peer.state;
}

void FleetView::apply(Instant, const RunningReported& reported)
{
    auto& observation = this->observations[reported.endpoint];
    if (reported.askedAt < observation.askedAt)
        return;
    observation = { reported.askedAt, reported.running.empty() };
}

void FleetView::refresh(Instant now)
{
    std::erase_if(this->members, [&](const auto& entry) {
        return !isWithin(now, entry.second.listedAt, departedMemberLifetime)
            && !isWithin(now, entry.second.stateAskedAt, departedMemberLifetime);
    });
    std::set<ZoneId> reachableZones;
    this->unreachableZones.clear();
    for (const auto& [incarnation, member] : this->members) {
        this->unreachableZones.insert(member.zone);
        if (isWithin(now, member.stateAskedAt, peerStateLifetime))
            reachableZones.insert(member.zone);
    }
    for (const auto& zone : reachableZones)
        this->unreachableZones.erase(zone);
}

const Pool* FleetView::poolOf(const VmId& vm) const { return findValue(this->pools, vm); }

const Pool* FleetView::pool(const PoolId& pool) const { return findValue(this->poolsByName, pool); }

const Wave* FleetView::wave(const WaveId& name) const
{
    if (!this->currentDocument)
        return nullptr;
    const auto& waves = this->currentDocument->waves;
    auto found = std::find_if(waves.begin(), waves.end(), [&](const Wave& wave) { return wave.name == name; });
    return found == waves.end() ? nullptr : &*found;
}

const Service* FleetView::serviceOf(const PoolId& name) const
{
    const auto* pool = this->pool(name);
    return pool ? findValue(this->services, pool->service) : nullptr;
}

const VmRecord* FleetView::record(const VmId& vm) const { return findEntry(this->records, vm); }

bool FleetView::isListFresh(Instant now) const { return isWithin(now, this->listedAt, listLifetime); }

bool FleetView::isServing(Instant now, const VmId& vm) const
{
    const auto* record = this->record(vm);
    if (!record || record->state != VmState::Live || !this->isListFresh(now))
        return false;
    if (this->unreachableZones.count(record->zone) != 0)
        return false;
    const auto* observation = this->observation(vm);
    return observation && isWithin(now, observation->askedAt, vmObservationLifetime);
}

const VmObservation* FleetView::observation(const VmId& vm) const { return findEntry(this->observations, vm); }

bool FleetView::isMembershipFresh(Instant now) const { return isWithin(now, this->membersAt, listLifetime); }

bool FleetView::isFirstMember(Instant now, const IncarnationId& self) const
{
    if (!this->isMembershipFresh(now))
        return false;
    for (const auto& [incarnation, member] : this->members) {
        if (incarnation < self && member.listedAt == this->membersAt)
            return false;
    }
    auto found = this->members.find(self);
    return found != this->members.end() && found->second.listedAt == this->membersAt;
}

template <typename Accepts> bool FleetView::everyMember(Instant now, const Accepts& accepts) const
{
    if (!this->isMembershipFresh(now) || this->members.empty())
        return false;
    for (const auto& [incarnation, member] : this->members) {
        if (!isWithin(now, member.stateAskedAt, peerStateLifetime) || !accepts(member.state))
            return false;
    }
    return true;
}

bool FleetView::isUnusedByEveryDaemon(Instant now, const VmMaintenance& entry) const
{
    return this->everyMember(now, [&](const PeerState& state) {
        const auto& busy = state.busyDrainingVms;
        return state.appliedLedgerRevision >= entry.revision
            && std::find(busy.begin(), busy.end(), entry.vm) == busy.end();
    });
}

bool FleetView::isAppliedEverywhere(Instant now, std::uint64_t documentRevision) const
{
    return this->everyMember(now, [&](const PeerState& state) { return state.appliedRevision >= documentRevision; });
}

} // namespace Greengage
