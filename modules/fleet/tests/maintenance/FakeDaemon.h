#pragma once

#include <config/model/Document.h>
#include <fleet/maintenance/MaintenancePlane.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Greengage {

/// A daemon that runs one plane, applies the ledger and the document with a delay, sends work, and can be frozen or
/// killed.
struct FakeDaemon {
    std::string name;
    ZoneId zone;
    int incarnation = 0;
    std::unique_ptr<MaintenancePlane> plane;
    std::shared_ptr<const Document> document;
    std::uint64_t ledgerRevision = 0;
    std::set<VmId> draining;
    std::vector<MaintenanceInput> inbox;
    Instant frozenUntil = Instant::min();
    Instant storeConfirmedAt = Instant::min();
    Instant leaseUntil = Instant::min();
    IncarnationId id() const { return IncarnationId(this->name + "." + std::to_string(this->incarnation)); }
};

} // namespace Greengage
