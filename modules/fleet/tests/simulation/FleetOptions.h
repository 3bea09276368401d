#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/policy/RequestPolicy.h>

#include <cstdint>

namespace Greengage {

/// Sizes, delays and fault rates of a simulated fleet.
struct FleetOptions {
    int daemons = 7;
    int zones = 4;
    int endpointsPerService = 10;
    std::uint64_t seed = 1;
    RequestPolicy policy;
    Microseconds networkDelay { 1000 };
    Microseconds storeDelay { 3000 };
    /// Fractions of the writes whose answer is lost: those that take effect at once, and those that take effect later.
    double lostWriteAnswers = 0;
    double lateWrites = 0;
    /// Fraction of the claims whose answer is lost; half of these are written.
    double lostClaimAnswers = 0;
    /// Fraction of the attempts whose connection breaks after the endpoint has started the request.
    double brokenAttempts = 0;
};

} // namespace Greengage
