#pragma once

namespace Greengage {

struct WaveContext;

/// Takes further VMs of the running waves, and of those being rolled back, out of service as far as every budget lets.
void startDrains(WaveContext&);

} // namespace Greengage
