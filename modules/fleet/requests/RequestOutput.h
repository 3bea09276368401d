#pragma once

#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/messages/AskRunning.h>
#include <fleet/requests/messages/SendAttempt.h>
#include <fleet/requests/messages/UpdateAllotments.h>
#include <fleet/requests/messages/WriteClaim.h>

#include <variant>

namespace Greengage {

/// All outputs of the request plane.
using RequestOutput = std::variant<SendAttempt, AnswerCaller, WriteClaim, UpdateAllotments, AskRunning>;

} // namespace Greengage
