#pragma once

#include <core/text/Identifier.h>

#include <vector>

namespace Greengage {

/// Jobs were cancelled. Those that run are stopped gracefully.
struct JobsCancelled {
    std::vector<JobId> jobs;
};

} // namespace Greengage
