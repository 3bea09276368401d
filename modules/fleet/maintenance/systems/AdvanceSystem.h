#pragma once

namespace Greengage {

struct WaveContext;

/// Advances each VM out of service by one step in the draft if the step's condition is met, cancels drains that timed
/// out, and drops VMs that the document no longer lists.
void advanceVms(WaveContext&);

/// Cancels drains where unplanned failures have pushed a service over its budget.
void cancelDrainsOverBudget(WaveContext&);

/// Completes the waves that have no work left.
void completeWaves(WaveContext&);

} // namespace Greengage
