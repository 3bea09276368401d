#pragma once

#include <core/time/Instant.h>
#include <fleet/placement/messages/AttemptStatus.h>
#include <fleet/placement/model/Resources.h>

#include <cstdint>

namespace Greengage {

/// A worker has reported on an attempt, which renews its lease. Reports lag and may come late.
struct AttemptReported {
    std::uint64_t attempt = 0;
    AttemptStatus status = AttemptStatus::Running;
    /// The most it has used so far.
    Resources peakUsage;
    /// By our clock, an instant before which the report cannot have been made.
    Instant notBefore;
};

} // namespace Greengage
