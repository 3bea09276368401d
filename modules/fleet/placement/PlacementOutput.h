#pragma once

#include <fleet/placement/messages/AskAttempt.h>
#include <fleet/placement/messages/JobEnded.h>
#include <fleet/placement/messages/StartTask.h>
#include <fleet/placement/messages/StopTask.h>
#include <fleet/placement/messages/ThrottleTask.h>
#include <fleet/placement/messages/WorkerSetAside.h>

#include <variant>

namespace Greengage {

/// Everything that the placement plane can ask for.
using PlacementOutput = std::variant<StartTask, StopTask, AskAttempt, ThrottleTask, JobEnded, WorkerSetAside>;

} // namespace Greengage
