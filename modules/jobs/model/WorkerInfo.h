#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/ResourceAmount.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// A worker's entry in the directory of workers.
struct WorkerInfo {
    WorkerId id;
    PoolId pool;
    std::string address;
    std::uint16_t port = 0;
    ZoneId zone;
    ResourceAmount capacity;
    std::vector<std::string> labels;
    /// Empty if the worker does not report it.
    std::string rack;
    /// Identifies the incarnation of the worker: its start time in Unix milliseconds; 0 if the worker does not report
    /// it.
    std::int64_t incarnationUnixMs = 0;
    bool draining = false;
};

} // namespace Greengage
