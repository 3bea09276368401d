#pragma once

#include "FakeJob.h"

#include <core/time/Instant.h>

#include <cstddef>
#include <cstdint>

namespace Greengage {

/// A task running on a fake worker.
struct FakeTask {
    std::uint64_t attempt = 0;
    FakeJob* job = nullptr;
    std::size_t worker = 0;
    Instant endsAt;
    Instant reportedAt;
    /// When the checkpoint in progress completes; the largest instant if there is none.
    Instant checkpointedAt = Instant::max();
};

} // namespace Greengage
