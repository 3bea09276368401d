#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

struct AttemptReported;
struct PlacementTables;

/// Takes a worker's report on an attempt: renews its lease, ends it, learns from it.
void applyReport(PlacementTables&, const AttemptReported&);

/// Ends the attempts of a worker's earlier boot. A job that may not be repeated is lost if it may have begun.
void applyBoot(PlacementTables&, const WorkerId&);

/// Treats attempts whose lease has lapsed as running still: a job that may be repeated is queued again, another waits
/// until its worker has answered.
void expireLeases(PlacementTables&);

} // namespace Greengage
