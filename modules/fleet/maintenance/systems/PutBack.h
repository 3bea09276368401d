#pragma once

#include <fleet/maintenance/messages/WaveEvent.h>

namespace Greengage {

struct VmMaintenance;
struct WaveContext;

/// Returns a draining VM to service: it was not stopped and nothing on it was cut. Its wave tries it again later, or,
/// after a drain that timed out, holds it as stuck.
void putBack(WaveContext&, const VmMaintenance&, WaveEventKind);

} // namespace Greengage
