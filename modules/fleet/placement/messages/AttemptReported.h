#pragma once

#include <core/time/Instant.h>
#include <fleet/placement/messages/AttemptStatus.h>
#include <fleet/placement/model/Resources.h>

#include <cstdint>

namespace Greengage {

/// A worker reported on an attempt, which renews the attempt's lease. Reports may be delayed.
struct AttemptReported {
    std::uint64_t attempt = 0;
    AttemptStatus status = AttemptStatus::Running;
    /// The attempt's peak usage so far.
    Resources peakUsage;
    /// By the daemon's clock, an instant before which the report cannot have been made.
    Instant notBefore;
};

} // namespace Greengage
