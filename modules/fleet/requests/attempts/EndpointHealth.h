#pragma once

#include <core/time/Instant.h>

namespace Greengage {

struct EndpointRow;

/// Circuit breaker of an endpoint: sets it aside after several consecutive failures, for a time that doubles with each
/// further failure, and then admits one request at a time until one is answered.
class EndpointHealth {
public:
    EndpointHealth(EndpointRow&, Instant now);

    void recordAnswer();
    void recordFailure();
    /// The endpoint has no free slot or is shutting down; it gets no requests for a short time.
    void recordRefusal();

    bool isHealthy() const;
    /// Whether the endpoint may get another request now.
    bool isAvailable() const;

private:
    EndpointRow& endpoint;
    Instant now;
};

} // namespace Greengage
