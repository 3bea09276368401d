#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// Timing of the advice service for one queue. The service says which workers may run a step and issues a ticket for
/// each of them.
struct AdvicePolicy {
    /// Duration of a call, without the time for each worker that it names.
    Milliseconds decisionTime { 0 };
    /// Additional duration for each worker that the call names.
    Milliseconds timePerWorker { 0 };
    /// How long tasks of the step may be started with a ticket.
    Milliseconds ticketLifetime { 0 };
};

} // namespace Greengage
