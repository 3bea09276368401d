#pragma once

#include <core/time/Deadline.h>
#include <core/time/Instant.h>
#include <fleet/maintenance/ledger/MaintenancePhase.h>

#include <cstdint>
#include <optional>

namespace Greengage {

/// What one daemon remembers of a VM out of service since it first saw it in its present phase. Losing it costs time
/// only: the next daemon waits anew.
struct VmWatch {
    std::uint64_t revision = 0;
    MaintenancePhase phase = MaintenancePhase::Draining;
    Instant since = Instant::min();
    Deadline drainDeadline = Deadline::never();
    /// Since when no daemon can have sent the VM anything.
    std::optional<Instant> quietSince;
    bool rebootDone = false;
    /// When the VM's step may next be asked for.
    Instant askAgainAt = Instant::min();
};

} // namespace Greengage
