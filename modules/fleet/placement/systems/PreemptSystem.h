#pragma once

namespace Greengage {

struct PlacementTables;

/// Frees space for urgent jobs that found none, by checkpointing less urgent tasks.
void preemptForUrgent(PlacementTables&);

/// Frees space for teams below their share, by checkpointing tasks of teams above theirs.
void preemptForShares(PlacementTables&);

/// Checkpoints or lets end what runs on workers that maintenance drains.
void drainWorkers(PlacementTables&);

} // namespace Greengage
