#pragma once

#include <core/text/Identifier.h>
#include <fleet/maintenance/ledger/MaintenancePhase.h>

#include <cstdint>

namespace Greengage {

/// One VM that maintenance holds out of service.
struct VmMaintenance {
    VmId vm;
    WaveId wave;
    ZoneId zone;
    RackId rack;
    MaintenancePhase phase = MaintenancePhase::Draining;
    /// Pool of the VM when its drain began.
    PoolId from;
    /// Pool that a Move takes it to; empty for a Reboot.
    PoolId to;
    /// Revision of the ledger that began the drain. It grows from one maintenance of a VM to the next, so it also
    /// numbers the reboot that the platform is asked for.
    std::uint64_t revision = 0;
    /// For a Joining VM that was moved, the revision of the document that named it in its new pool; otherwise 0.
    std::uint64_t documentRevision = 0;
    /// Whether it is a move back, for a wave that is being rolled back.
    bool isRollback = false;

    bool operator==(const VmMaintenance&) const = default;
};

} // namespace Greengage
