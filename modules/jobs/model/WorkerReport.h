#pragma once

#include <jobs/model/EndKind.h>
#include <jobs/model/TaskName.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// An attempt that is running on a worker.
struct RunningAttempt {
    TaskName task;
    std::uint32_t run = 0;
    std::string checkpoint;
    /// The speed at which the attempt runs, in percent of full speed: 0 to 100.
    int speedPercent = 100;
    /// For a latency-sensitive task, the tail of its response times in milliseconds; otherwise the processor time in
    /// use.
    std::int64_t load = 0;
};

/// An attempt that has ended on a worker. `number` is the worker's own sequence number of the end.
struct EndedAttempt {
    std::uint64_t number = 0;
    TaskName task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Stopped;
    std::string checkpoint;
};

/// A worker's answer to a renewal of its lease.
struct WorkerReport {
    /// The worker's steady clock at the time of its answer, in milliseconds.
    std::int64_t clockMs = 0;
    std::int64_t incarnationUnixMs = 0;
    std::vector<RunningAttempt> running;
    std::vector<EndedAttempt> ended;
    /// False if there are more ends than fit into the report.
    bool endsComplete = true;
};

} // namespace Greengage
