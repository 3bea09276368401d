#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/Demand.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// What a worker says of itself in the directory of workers.
struct WorkerFacts {
    WorkerId id;
    PoolId pool;
    std::string address;
    std::uint16_t port = 0;
    ZoneId zone;
    Demand capacity;
    std::vector<std::string> labels;
    /// Empty if the worker does not say.
    std::string rack;
    /// Distinguishes the lives of a worker: the time of its start in Unix milliseconds, 0 if it does not say.
    std::int64_t bornUnixMs = 0;
    bool draining = false;
};

} // namespace Greengage
