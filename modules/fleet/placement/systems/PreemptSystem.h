#pragma once

namespace Greengage {

struct PlacementTables;

/// Frees capacity for urgent jobs that could not be placed, by checkpointing less urgent tasks.
void preemptForUrgent(PlacementTables&);

/// Frees capacity for teams below their share, by checkpointing tasks of teams above theirs.
void preemptForShares(PlacementTables&);

/// Checkpoints the tasks on draining workers, except those that are expected to end soon.
void drainWorkers(PlacementTables&);

} // namespace Greengage
