#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// The failures that one endpoint simulates at present.
struct EndpointFaults {
    /// Requests are accepted but neither run nor answered until this is reset; then they run, as in a process that was
    /// suspended and continued.
    bool frozen = false;
    /// New work is refused with status 503.
    bool leaving = false;
    /// How many of the next answers are truncated.
    int answersToTruncate = 0;
    /// Whether the endpoint crashes in the middle of its next answer.
    bool crashInNextAnswer = false;
    /// Delay between the end of the work and its answer.
    Milliseconds answerDelay {};
};

} // namespace Greengage
