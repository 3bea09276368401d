#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/messages/AnswerCaller.h>

namespace Greengage {

/// How long a caller should wait before it retries a request that was not run; zero if a retry cannot help.
Milliseconds retryAfter(OutcomeReason);

} // namespace Greengage
