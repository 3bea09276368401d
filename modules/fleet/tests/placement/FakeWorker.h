#pragma once

#include <core/time/Instant.h>
#include <fleet/placement/model/WorkerRecord.h>

namespace Greengage {

/// A worker as it really is.
struct FakeWorker {
    WorkerRecord record;
    bool failsEverything = false;
    /// Until then neither commands nor reports pass; its tasks run on.
    Instant cutUntil = Instant::min();
};

} // namespace Greengage
