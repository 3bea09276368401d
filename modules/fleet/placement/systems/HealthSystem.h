#pragma once

namespace Greengage {

struct Attempt;
struct PlacementTables;

/// Counts a failure against the attempt's worker, which is set aside after a few failures of different jobs, as long as
/// the budget of workers set aside lasts.
void noteWorkerFailure(PlacementTables&, const Attempt&);

/// Clears the failures of the attempt's worker: it has done a job well.
void noteWorkerSuccess(PlacementTables&, const Attempt&);

/// Lets workers be probed whose time aside is over.
void probeWorkers(PlacementTables&);

} // namespace Greengage
