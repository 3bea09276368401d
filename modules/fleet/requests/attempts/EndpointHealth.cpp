#include <fleet/requests/attempts/EndpointHealth.h>

#include <algorithm>
#include <fleet/requests/tables/EndpointRow.h>

namespace Greengage {

namespace {

/// Number of consecutive failures that do not yet set an endpoint aside.
constexpr int failuresTolerated = 2;
constexpr int maxDoublings = 4;
constexpr Milliseconds firstSetAside { 1000 };
constexpr Milliseconds refusalPause { 50 };

} // namespace

EndpointHealth::EndpointHealth(EndpointRow& endpoint, Instant now)
    : endpoint(endpoint)
    , now(now)
{
}

void EndpointHealth::recordAnswer()
{
    this->endpoint.answeredAt = this->now;
    this->endpoint.consecutiveFailures = 0;
    this->endpoint.setAsideUntil = Deadline();
}

void EndpointHealth::recordFailure()
{
    this->endpoint.consecutiveFailures += 1;
    int beyond = this->endpoint.consecutiveFailures - failuresTolerated - 1;
    if (beyond >= 0)
        this->endpoint.setAsideUntil
            = Deadline::after(this->now, firstSetAside * (1 << std::min(beyond, maxDoublings)));
}

void EndpointHealth::recordRefusal() { this->endpoint.pausedUntil = Deadline::after(this->now, refusalPause); }

bool EndpointHealth::isHealthy() const { return this->endpoint.consecutiveFailures <= failuresTolerated; }

bool EndpointHealth::isAvailable() const
{
    if (!this->endpoint.pausedUntil.hasPassed(this->now))
        return false;
    return this->isHealthy() || (this->endpoint.setAsideUntil.hasPassed(this->now) && this->endpoint.running == 0);
}

} // namespace Greengage
