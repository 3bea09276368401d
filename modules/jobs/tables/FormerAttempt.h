#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/tables/ReleaseReason.h>

#include <cstdint>

namespace Greengage {

/// The latest attempt of a task that may have run and has been released.
struct FormerAttempt {
    WorkerId worker;
    std::uint32_t run = 0;
    ReleaseReason reason = ReleaseReason::NotOrdered;
    /// When its latest start order was sent, and as of when it does not run any more.
    Instant orderedAt;
    Instant provenAt;
};

} // namespace Greengage
