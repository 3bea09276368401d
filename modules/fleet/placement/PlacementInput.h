#pragma once

#include <fleet/placement/messages/AttemptReported.h>
#include <fleet/placement/messages/JobSubmitted.h>
#include <fleet/placement/messages/JobsCancelled.h>
#include <fleet/placement/messages/WorkersListed.h>
#include <fleet/requests/messages/DocumentApplied.h>

#include <variant>

namespace Greengage {

/// Every input message of the placement plane.
using PlacementInput = std::variant<DocumentApplied, WorkersListed, JobSubmitted, JobsCancelled, AttemptReported>;

} // namespace Greengage
