#pragma once

#include <coordinator/workers/StartAnswer.h>
#include <coordinator/workers/WorkerEndpoint.h>
#include <coordinator/workers/WorkerFailure.h>
#include <coordinator/workers/WorkerOrders.h>
#include <core/errors/Result.h>
#include <jobs/model/WorkerReport.h>

#include <functional>

namespace Greengage {

using StartCallback = std::function<void(const StartAnswer&)>;
/// Whether the worker has accepted the order. An order can be repeated safely.
using OrderCallback = std::function<void(bool isAccepted)>;
using ReportCallback = std::function<void(Result<WorkerReport, WorkerFailure>)>;

/// Sends orders to workers. Each call ends in exactly one callback, from the loop.
template <typename Link>
concept WorkerLink
    = requires(Link& link, const WorkerEndpoint& worker, StartAttempt start, StopAttempt stop, RenewLease renew,
        ThrottleAttempt throttle, StartCallback onStarted, OrderCallback onAnswered, ReportCallback onReport)
{
    link.start(worker, start, onStarted);
    link.stop(worker, stop, onAnswered);
    link.throttle(worker, throttle, onAnswered);
    link.renew(worker, renew, onReport);
};

} // namespace Greengage
