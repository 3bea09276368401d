#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// How the advice service answers for a queue: it says which workers may run a step, and gives a ticket for each.
struct AdvicePolicy {
    /// How long a call takes, and how much longer for each worker that it names.
    Milliseconds decisionTime { 0 };
    Milliseconds timePerWorker { 0 };
    /// How long a ticket lets tasks of its step start.
    Milliseconds ticketLifetime { 0 };
};

} // namespace Greengage
