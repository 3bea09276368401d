#include <fleet/requests/attempts/EndpointHealth.h>

#include <algorithm>
#include <fleet/requests/tables/EndpointRow.h>

namespace Greengage {

namespace {

/// Number of consecutive failures that do not yet quarantine an endpoint.
constexpr int failuresTolerated = 2;
constexpr int maxDoublings = 4;
constexpr Milliseconds firstQuarantineTime { 1000 };
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
    this->endpoint.quarantinedUntil = Deadline();
}

void EndpointHealth::recordFailure()
{
    this->endpoint.consecutiveFailures += 1;
    int beyond = this->endpoint.consecutiveFailures - failuresTolerated - 1;
    if (beyond >= 0)
        this->endpoint.quarantinedUntil
            = Deadline::after(this->now, firstQuarantineTime * (1 << std::min(beyond, maxDoublings)));
}

void EndpointHealth::recordRefusal() { this->endpoint.pausedUntil = Deadline::after(this->now, refusalPause); }

bool EndpointHealth::isHealthy() const { return this->endpoint.consecutiveFailures <= failuresTolerated; }

bool EndpointHealth::isAvailable() const
{
    if (!this->endpoint.pausedUntil.hasPassed(this->now))
        return false;
    return this->isHealthy() || (this->endpoint.quarantinedUntil.hasPassed(this->now) && this->endpoint.running == 0);
}

} // namespace Greengage
