#pragma once

#include <core/time/Deadline.h>
#include <core/time/Instant.h>
#include <fleet/maintenance/ledger/MaintenancePhase.h>

#include <cstdint>
#include <optional>

namespace Greengage {

/// What one daemon has observed of a VM out of service since it first saw the VM in its present phase. Losing it costs
/// only time: the next daemon waits from the start.
struct VmWatch {
    std::uint64_t revision = 0;
    MaintenancePhase phase = MaintenancePhase::Draining;
    Instant since = Instant::min();
    Deadline drainDeadline = Deadline::never();
    /// The instant since which no daemon can have sent the VM any work.
    std::optional<Instant> unusedSince;
    bool rebootDone = false;
    /// When the VM's next step may be requested from the platform again.
    Instant nextRequestAt = Instant::min();
};

} // namespace Greengage
