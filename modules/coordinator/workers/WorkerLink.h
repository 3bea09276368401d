#pragma once

#include <coordinator/workers/WorkerEndpoint.h>
#include <coordinator/workers/WorkerFailure.h>
#include <coordinator/workers/WorkerOrders.h>
#include <core/errors/Result.h>
#include <jobs/model/StartOutcome.h>
#include <jobs/model/WorkerReport.h>

#include <functional>

namespace Greengage {

using StartCallback = std::function<void(StartOutcome)>;
/// Whether the worker has taken the order note of; it is safe to repeat.
using OrderCallback = std::function<void(bool isTaken)>;
using ReportCallback = std::function<void(Result<WorkerReport, WorkerFailure>)>;

/// Carries orders to workers. Each call ends in exactly one callback, from the loop.
template <typename Link>
concept WorkerLink = requires(Link& link, const WorkerEndpoint& worker, StartAttempt start, StopAttempt stop,
    RenewLease renew, PaceAttempt pace, StartCallback started, OrderCallback taken, ReportCallback reported)
{
    link.start(worker, start, started);
    link.stop(worker, stop, taken);
    link.pace(worker, pace, taken);
    link.renew(worker, renew, reported);
};

} // namespace Greengage
