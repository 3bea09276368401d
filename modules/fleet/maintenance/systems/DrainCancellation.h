#pragma once

#include <fleet/maintenance/messages/WaveEvent.h>

namespace Greengage {

struct VmMaintenance;
struct WaveContext;

/// Cancels a drain and returns the VM to service: the VM was not stopped and no work on it was interrupted. Its wave
/// retries it later or, after a drain that timed out, records it as stuck.
void cancelDrain(WaveContext&, const VmMaintenance&, WaveEventKind);

} // namespace Greengage
