#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// What a VM reported about itself in its last answer.
struct VmObservation {
    /// When the poll was sent.
    Instant askedAt = Instant::min();
    /// Whether no work was running on it.
    bool isIdle = false;
};

} // namespace Greengage
