#pragma once

#include <core/time/Instant.h>
#include <jobs/model/TaskName.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Greengage {

/// An order to start an attempt. Times are milliseconds on the worker's clock.
struct StartAttempt {
    TaskName task;
    std::uint32_t run = 0;
    std::string payload;
    /// The worker refuses the order after this time.
    std::int64_t validUntilClockMs = 0;
    std::int64_t fencingToken = 0;
    std::string checkpoint;
    std::string ticket;
};

/// An order to stop an attempt.
struct StopAttempt {
    TaskName task;
    std::uint32_t run = 0;
    std::int64_t fencingToken = 0;
};

/// An order to throttle a best-effort attempt.
struct ThrottleAttempt {
    TaskName task;
    std::uint32_t run = 0;
    /// Share of full speed.
    int percent = 100;
    std::int64_t fencingToken = 0;
};

/// Renews the lease of all attempts on a worker, lets it forget ends that are stored, and asks what it runs.
struct RenewLease {
    /// The end of the lease on the worker's clock, in milliseconds. Absent if the lease is not to be renewed, as while
    /// the worker's clock is not known.
    std::optional<std::int64_t> leaseUntilClockMs;
    std::int64_t fencingToken = 0;
    /// Ends with numbers up to this one are stored.
    std::uint64_t storedEnds = 0;
    /// How long the worker may delay its answer until an attempt ends.
    Milliseconds wait { 0 };
};

} // namespace Greengage
