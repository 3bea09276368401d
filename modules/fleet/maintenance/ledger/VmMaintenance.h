#pragma once

#include <core/text/Identifier.h>
#include <fleet/maintenance/ledger/MaintenancePhase.h>

#include <cstdint>

namespace Greengage {

/// One VM that maintenance keeps out of service.
struct VmMaintenance {
    VmId vm;
    WaveId wave;
    ZoneId zone;
    RackId rack;
    MaintenancePhase phase = MaintenancePhase::Draining;
    /// Pool of the VM when its drain began.
    PoolId from;
    /// The target pool of a Move; empty for a Reboot.
    PoolId to;
    /// Ledger revision that started the drain. It increases with each maintenance of a VM, so it also serves as the
    /// operation number of the reboot requested from the platform.
    std::uint64_t revision = 0;
    /// For a Joining VM that was moved, the revision of the document that listed it in its new pool; otherwise 0.
    std::uint64_t documentRevision = 0;
    /// Whether the VM is moved back because its wave is rolled back.
    bool isRollback = false;

    bool operator==(const VmMaintenance&) const = default;
};

} // namespace Greengage
