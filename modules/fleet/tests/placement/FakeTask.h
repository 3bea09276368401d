#pragma once

#include "FakeJob.h"

#include <core/time/Instant.h>

#include <cstddef>
#include <cstdint>

namespace Greengage {

/// A task as it really is on a worker.
struct FakeTask {
    std::uint64_t attempt = 0;
    FakeJob* job = nullptr;
    std::size_t worker = 0;
    Instant endsAt;
    Instant reportedAt;
    /// When a checkpoint under way is complete; the largest instant if none is.
    Instant checkpointedAt = Instant::max();
};

} // namespace Greengage
