#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/messages/AnswerCaller.h>

namespace Greengage {

/// When a caller whose request was not run may try again; zero if a retry cannot help.
Milliseconds retryAfter(OutcomeReason);

} // namespace Greengage
