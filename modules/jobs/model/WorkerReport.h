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

/// The rows of a report that could not be read.
struct UnreadableRows {
    std::uint32_t running = 0;
    std::uint32_t ended = 0;
    /// The highest number of an end among them; zero if there is none with a number.
    std::uint64_t lastEnd = 0;
    /// The beginning of the first of them.
    std::string example;
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
    UnreadableRows unreadable;

    /// Whether an attempt that the report does not list has certainly ended, or was never started.
    bool isComplete() const { return this->endsComplete && !this->unreadable.running; }
};

} // namespace Greengage
