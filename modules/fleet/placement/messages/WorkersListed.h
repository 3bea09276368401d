#pragma once

#include <fleet/placement/model/WorkerRecord.h>

#include <vector>

namespace Greengage {

/// The list of workers was read. A worker that is no longer listed receives no new work and keeps its running attempts.
struct WorkersListed {
    std::vector<WorkerRecord> workers;
};

} // namespace Greengage
