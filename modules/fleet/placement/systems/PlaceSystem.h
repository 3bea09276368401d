#pragma once

namespace Greengage {

struct PlacementTables;

/// Ends waiting jobs that exceed the capacity of every worker, and those whose team has been removed from the document.
void refuseImpossibleJobs(PlacementTables&);

/// Sends attempts whose capacity has been freed, and withdraws those whose worker may no longer receive work.
void sendAwaiting(PlacementTables&);

/// Places waiting jobs: urgent ones first, then those of the teams furthest below their shares.
void placeJobs(PlacementTables&);

} // namespace Greengage
