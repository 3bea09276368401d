#pragma once

#include <fleet/placement/messages/AskAttempt.h>
#include <fleet/placement/messages/JobEnded.h>
#include <fleet/placement/messages/StartTask.h>
#include <fleet/placement/messages/StopTask.h>
#include <fleet/placement/messages/ThrottleTask.h>
#include <fleet/placement/messages/WorkerQuarantined.h>

#include <variant>

namespace Greengage {

/// Every output message of the placement plane.
using PlacementOutput = std::variant<StartTask, StopTask, AskAttempt, ThrottleTask, JobEnded, WorkerQuarantined>;

} // namespace Greengage
