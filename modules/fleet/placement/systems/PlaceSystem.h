#pragma once

namespace Greengage {

struct PlacementTables;

/// Ends waiting jobs that no worker could ever hold, and those whose team has left the document.
void refuseImpossibleJobs(PlacementTables&);

/// Sends attempts whose space has been freed, and gives up those whose worker may no longer be given work.
void sendAwaiting(PlacementTables&);

/// Places waiting jobs: urgent ones first, then those of the teams furthest below their shares.
void placeJobs(PlacementTables&);

} // namespace Greengage
