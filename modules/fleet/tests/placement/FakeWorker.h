#pragma once

#include <core/time/Instant.h>
#include <fleet/placement/model/WorkerRecord.h>

namespace Greengage {

/// A fake worker.
struct FakeWorker {
    WorkerRecord record;
    bool failsEverything = false;
    /// Until then no commands or reports get through; its tasks keep running.
    Instant cutUntil = Instant::min();
};

} // namespace Greengage
