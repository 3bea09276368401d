#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

struct AttemptReported;
struct PlacementTables;

/// Applies a worker's report on an attempt: renews its lease or ends it, and learns from its usage.
void applyReport(PlacementTables&, const AttemptReported&);

/// Ends the attempts of a worker's earlier boot. A job that is not idempotent is lost if it may have started.
void applyBoot(PlacementTables&, const WorkerId&);

/// Treats attempts whose lease has expired as still running: an idempotent job is queued again, any other waits until
/// its worker has answered.
void expireLeases(PlacementTables&);

} // namespace Greengage
