#pragma once

#include <fleet/placement/messages/JobEnded.h>
#include <fleet/placement/messages/QueryAttempt.h>
#include <fleet/placement/messages/StartTask.h>
#include <fleet/placement/messages/StopTask.h>
#include <fleet/placement/messages/ThrottleTask.h>
#include <fleet/placement/messages/WorkerQuarantined.h>

#include <variant>

namespace Greengage {

/// Every output message of the placement plane.
using PlacementOutput = std::variant<StartTask, StopTask, QueryAttempt, ThrottleTask, JobEnded, WorkerQuarantined>;

} // namespace Greengage
