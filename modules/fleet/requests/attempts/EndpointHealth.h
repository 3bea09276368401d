#pragma once

#include <core/time/Instant.h>

namespace Greengage {

struct EndpointRow;

/// Sets an endpoint aside that fails several attempts in a row, for a time that doubles with each further failure,
/// and then lets one request at a time through until one is answered.
class EndpointHealth {
public:
    EndpointHealth(EndpointRow&, Instant now);

    void recordAnswer();
    void recordFailure();
    /// The endpoint has no free slot or is leaving; it gets no work for a moment.
    void recordRefusal();

    bool isHealthy() const;
    /// Whether it may get one more request now.
    bool isAvailable() const;

private:
    EndpointRow& endpoint;
    Instant now;
};

} // namespace Greengage
