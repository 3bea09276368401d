#pragma once

namespace Greengage {

struct Attempt;
struct PlacementTables;

/// Counts a failure against the attempt's worker. The worker is quarantined after failures of several different jobs,
/// as long as the limit of quarantined workers allows it.
void recordWorkerFailure(PlacementTables&, const Attempt&);

/// Clears the failures of the attempt's worker after a success.
void recordWorkerSuccess(PlacementTables&, const Attempt&);

/// Makes workers available for a probe once their quarantine has expired.
void probeWorkers(PlacementTables&);

} // namespace Greengage
