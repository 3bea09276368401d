#pragma once

#include <coordinator/tests/FakeWorkers.h>

#include <functional>

namespace Greengage {

/// One daemon's link to the workers, which tells the world of each order that grants a lease.
class ModelLink {
public:
    /// Called with the fencing token of an order, after the worker has carried it out or refused it.
    using OnLease = std::function<void(const WorkerId&, std::int64_t token)>;

    ModelLink(event_base& base, FakeWorkers& workers, OnLease onLease)
        : fake(base, workers)
        , onLease(std::move(onLease))
    {
    }

    void start(const WorkerEndpoint& endpoint, const StartAttempt& order, StartCallback callback)
    {
        this->fake.start(endpoint, order, std::move(callback));
        this->onLease(endpoint.id, order.fencingToken);
    }

    void stop(const WorkerEndpoint& endpoint, const StopAttempt& order, OrderCallback callback)
    {
        this->fake.stop(endpoint, order, std::move(callback));
    }

    void throttle(const WorkerEndpoint& endpoint, const ThrottleAttempt& order, OrderCallback callback)
    {
        this->fake.throttle(endpoint, order, std::move(callback));
    }

    void renew(const WorkerEndpoint& endpoint, const RenewLease& order, ReportCallback callback)
    {
        this->fake.renew(endpoint, order, std::move(callback));
        if (order.leaseUntilClockMs)
            this->onLease(endpoint.id, order.fencingToken);
    }

    FakeLink fake;

private:
    OnLease onLease;
};

} // namespace Greengage
