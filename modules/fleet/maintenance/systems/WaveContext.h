#pragma once

#include <core/time/Instant.h>
#include <fleet/maintenance/messages/WaveEvent.h>
#include <fleet/maintenance/systems/VmWatch.h>

#include <unordered_map>
#include <vector>

namespace Greengage {

class FleetView;
struct MaintenanceLedger;

/// The tables on which the maintenance systems run in one tick.
struct WaveContext {
    Instant now;
    const FleetView& view;
    /// The ledger as it will be written.
    MaintenanceLedger& draft;
    const std::unordered_map<VmId, VmWatch>& watches;
    /// The events to emit once the write has succeeded.
    std::vector<WaveEvent>& events;

    void report(WaveEventKind kind, const VmId& vm, const WaveId& wave) { this->events.push_back({ kind, vm, wave }); }
};

} // namespace Greengage
