#pragma once

#include <jobs/model/EndKind.h>
#include <jobs/model/TaskName.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// An attempt that a worker is running.
struct RunningAttempt {
    TaskName task;
    std::uint32_t run = 0;
    std::string checkpoint;
    /// The share of its speed at which the attempt works, 0 to 100.
    int pacePercent = 100;
    /// For a serving task the tail of its response times in milliseconds, otherwise the processor time in use.
    std::int64_t load = 0;
};

/// An attempt that has ended on a worker, under the worker's own running number.
struct EndedAttempt {
    std::uint64_t number = 0;
    TaskName task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Stopped;
    std::string checkpoint;
};

/// A worker's answer to a renewal of its lease.
struct WorkerReport {
    /// The worker's own steady clock when it answered.
    std::int64_t clockMs = 0;
    std::int64_t bornUnixMs = 0;
    std::vector<RunningAttempt> running;
    std::vector<EndedAttempt> ended;
    /// False if more ends exist than the report had room for.
    bool endsComplete = true;
};

} // namespace Greengage
