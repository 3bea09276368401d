#pragma once

#include <fleet/placement/model/Resources.h>

#include <string>

namespace Greengage {

/// The size and load of one of the sites.
struct SiteKind {
    std::string name;
    int zones = 4;
    int workers = 50;
    Resources capacity;
    /// Largest number of processors that a job actually uses.
    int largestJob = 8;
    /// Mean number of jobs per second over all queues; their work uses a little under half of the workers.
    double jobsPerSecond = 9.0;
};

} // namespace Greengage
