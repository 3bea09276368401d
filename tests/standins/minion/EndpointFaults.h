#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// The failures that one endpoint shows at present.
struct EndpointFaults {
    /// Requests are taken and neither run nor answered until this ends; then they run, as in a process that was paused.
    bool frozen = false;
    /// Work is refused with 503.
    bool leaving = false;
    /// How many of the next answers are cut short.
    int answersToTruncate = 0;
    /// Whether the endpoint dies in the middle of its next answer.
    bool dieInNextAnswer = false;
    /// Time between the end of work and its answer.
    Milliseconds answerDelay {};
};

} // namespace Greengage
