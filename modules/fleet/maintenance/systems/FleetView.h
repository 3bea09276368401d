#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/maintenance/systems/MemberObservation.h>
#include <fleet/maintenance/systems/VmObservation.h>
#include <store/vms/VmRecord.h>

#include <cstdint>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Greengage {

struct Document;
struct DocumentApplied;
struct EndpointsListed;
struct MembersListed;
struct PeerHeard;
struct Pool;
struct RunningReported;
struct Service;
struct VmMaintenance;
struct Wave;

/// One daemon's view of the fleet, interpreted conservatively: a VM without a recent observation counts as out of
/// service, and a daemon without one as not yet up to date.
class FleetView {
public:
    void apply(Instant now, const DocumentApplied&);
    void apply(Instant now, const EndpointsListed&);
    void apply(Instant now, const MembersListed&);
    void apply(Instant now, const PeerHeard&);
    void apply(Instant now, const RunningReported&);

    /// Removes daemons that left long ago and determines the unreachable zones. Call it once per tick, after the
    /// inputs.
    void refresh(Instant now);

    /// The newest document, or null before the first one.
    const Document* document() const { return this->currentDocument.get(); }
    Instant documentAppliedAt() const { return this->documentAt; }

    /// The pool in which the document lists the VM, or null.
    const Pool* poolOf(const VmId&) const;
    const Pool* pool(const PoolId&) const;
    const Wave* wave(const WaveId&) const;
    /// The service that the pool's VMs are endpoints of, or null.
    const Service* serviceOf(const PoolId&) const;
    /// The VM's entry in the platform's list, or null.
    const VmRecord* record(const VmId&) const;
    /// Whether the platform's list was read recently enough to be valid.
    bool isListFresh(Instant now) const;

    /// Whether the VM is listed as live, has answered recently and its zone is not unreachable.
    bool isServing(Instant now, const VmId&) const;
    /// The last observation of the VM, or null.
    const VmObservation* observation(const VmId&) const;

    /// Whether the membership is known and this incarnation is the smallest in it.
    bool isFirstMember(Instant now, const IncarnationId&) const;
    /// Whether every daemon has recently reported that it sends the VM no new work and has none in progress there.
    bool isUnusedByEveryDaemon(Instant now, const VmMaintenance&) const;
    /// Whether every daemon has recently reported that it has applied the document's revision.
    bool isAppliedEverywhere(Instant now, std::uint64_t documentRevision) const;

private:
    bool isMembershipFresh(Instant now) const;
    template <typename Accepts> bool everyMember(Instant now, const Accepts&) const;

    std::shared_ptr<const Document> currentDocument;
    Instant documentAt = Instant::min();
    Instant listedAt = Instant::min();
    Instant membersAt = Instant::min();
    std::unordered_map<VmId, const Pool*> pools;
    std::unordered_map<PoolId, const Pool*> poolsByName;
    std::unordered_map<ServiceId, const Service*> services;
    std::unordered_map<VmId, VmRecord> records;
    std::unordered_map<VmId, VmObservation> observations;
    std::unordered_map<IncarnationId, MemberObservation> members;
    /// Zones with members of which none has reported its state recently.
    std::set<ZoneId> unreachableZones;
};

} // namespace Greengage
