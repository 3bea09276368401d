#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/maintenance/systems/MemberSighting.h>
#include <fleet/maintenance/systems/VmSighting.h>
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

/// What one daemon knows of the fleet, read pessimistically: whatever has not been heard of lately counts as out of
/// service or as not yet told.
class FleetView {
public:
    void apply(Instant now, const DocumentApplied&);
    void apply(Instant now, const EndpointsListed&);
    void apply(Instant now, const MembersListed&);
    void apply(Instant now, const PeerHeard&);
    void apply(Instant now, const RunningReported&);

    /// Forgets daemons that left long ago and finds the zones at risk. Call it once a tick, after the inputs.
    void refresh(Instant now);

    /// The newest document, or null before the first.
    const Document* document() const { return this->currentDocument.get(); }
    Instant documentAppliedAt() const { return this->documentAt; }

    /// The pool that the document has the VM in, or null.
    const Pool* poolOf(const VmId&) const;
    const Pool* pool(const PoolId&) const;
    const Wave* wave(const WaveId&) const;
    /// The service that the pool's VMs are endpoints of, or null.
    const Service* serviceOf(const PoolId&) const;
    /// The VM's line in the platform's list, or null.
    const VmRecord* record(const VmId&) const;
    /// Whether the platform's list was read lately enough to be believed.
    bool isListFresh(Instant now) const;

    /// Whether the VM is listed as live, has answered lately and stands in a zone that is not at risk.
    bool isServing(Instant now, const VmId&) const;
    /// What the VM last told, or null.
    const VmSighting* sighting(const VmId&) const;

    /// Whether the membership is known and this incarnation is the smallest in it.
    bool isFirstMember(Instant now, const IncarnationId&) const;
    /// Whether every daemon has said lately that it sends the VM nothing new and has nothing under way to it.
    bool isCutOffFromWork(Instant now, const VmMaintenance&) const;
    /// Whether every daemon has said lately that it has applied the document's revision.
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
    std::unordered_map<VmId, VmSighting> sightings;
    std::unordered_map<IncarnationId, MemberSighting> members;
    std::set<ZoneId> zonesAtRisk;
};

} // namespace Greengage
