#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/model/AdvicePolicy.h>

#include <cstdint>
#include <optional>

namespace Greengage {

/// The operators' settings for one queue.
struct QueuePolicy {
    QueueId id;
    /// The pool whose workers run the queue's tasks.
    PoolId pool;
    /// Jobs of queues with lower numbers are placed first.
    int priority = 0;
    /// Failed attempts of one task after which its job fails.
    std::uint32_t maxAttempts = 1;
    /// A job is on time if it ends within `stretch` times the estimate of its critical path, plus `slack`.
    double stretch = 1;
    Milliseconds slack { 0 };
    /// Set if tasks of the queue need a ticket from the advice service before they can start.
    std::optional<AdvicePolicy> advice;
};

} // namespace Greengage
