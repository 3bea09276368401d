#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/model/AdvicePolicy.h>

#include <cstdint>
#include <optional>

namespace Greengage {

/// What operators decide about one queue.
struct QueuePolicy {
    QueueId id;
    /// The pool whose workers run the queue's tasks.
    PoolId pool;
    /// Lower numbers go first.
    int priority = 0;
    /// A task that has failed this often fails its job.
    std::uint32_t maxAttempts = 1;
    /// A job is on time if it ends within this many times its longest chain of work, and `slack` more.
    double stretch = 1;
    Milliseconds slack { 0 };
    /// Set if the queue's tasks need tickets from the advice service before they start.
    std::optional<AdvicePolicy> advice;
};

} // namespace Greengage
