#pragma once

#include <fleet/requests/policy/RequestPolicy.h>
#include <fleet/tests/simulation/BurstResult.h>

#include <cstdint>

namespace Greengage {

/// Five teams on a pool of 80 slots for 30 s. Each asks a twentieth of its mean, but the first, if `burst` is set, asks
/// five times its mean for 10 s, which is 125% of what the pool holds.
BurstResult runBurst(const RequestPolicy&, bool burst, std::uint64_t seed);

} // namespace Greengage
