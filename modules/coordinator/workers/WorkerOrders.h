#pragma once

#include <core/time/Instant.h>
#include <jobs/model/TaskName.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Greengage {

/// An order to start an attempt. Times are on the worker's clock.
struct StartAttempt {
    TaskName task;
    std::uint32_t run = 0;
    std::string payload;
    std::int64_t validUntilClockMs = 0;
    std::int64_t fencingToken = 0;
    std::string checkpoint;
    std::string ticket;
};

struct StopAttempt {
    TaskName task;
    std::uint32_t run = 0;
    std::int64_t fencingToken = 0;
};

struct PaceAttempt {
    TaskName task;
    std::uint32_t run = 0;
    int percent = 100;
    std::int64_t fencingToken = 0;
};

/// Renews the lease of all that runs on a worker, lets it forget recorded ends, and asks what it runs.
struct RenewLease {
    /// Absent while the worker's clock is not known.
    std::optional<std::int64_t> leaseUntilClockMs;
    std::int64_t fencingToken = 0;
    std::uint64_t recordedEnds = 0;
    /// The answer waits this long for an attempt to end.
    Milliseconds wait { 0 };
};

} // namespace Greengage
