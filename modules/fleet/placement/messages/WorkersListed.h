#pragma once

#include <fleet/placement/model/WorkerRecord.h>

#include <vector>

namespace Greengage {

/// The list of workers has been read. A worker that it no longer names gets nothing new and keeps what it holds.
struct WorkersListed {
    std::vector<WorkerRecord> workers;
};

} // namespace Greengage
