#pragma once

namespace Greengage {

struct WaveContext;

/// Takes each VM out of service one step further in the draft if what it waits for has happened, puts back those that
/// would not drain in time, and drops those that the document no longer names.
void advanceVms(WaveContext&);

/// Puts draining VMs back into service where unplanned failures have pushed a service over its budget.
void recallDrains(WaveContext&);

/// Ends the waves that have nothing left to do.
void settleWaves(WaveContext&);

} // namespace Greengage
