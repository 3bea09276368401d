#pragma once

#include <fleet/placement/model/Resources.h>

#include <string>

namespace Greengage {

/// The size of one of the sites.
struct SiteKind {
    std::string name;
    int zones = 4;
    int workers = 50;
    Resources capacity;
    /// Most processors that a job really needs.
    int largestJob = 8;
    /// Mean of jobs a second over all queues; their work fills a little under half of the workers.
    double jobsPerSecond = 9.0;
};

} // namespace Greengage
