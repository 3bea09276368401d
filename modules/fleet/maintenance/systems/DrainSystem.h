#pragma once

namespace Greengage {

struct WaveContext;

/// Starts drains of further VMs in the running waves, and in those being rolled back, as far as every budget allows.
void startDrains(WaveContext&);

} // namespace Greengage
