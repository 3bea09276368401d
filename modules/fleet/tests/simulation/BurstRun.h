#pragma once

#include <fleet/requests/policy/RequestPolicy.h>
#include <fleet/tests/simulation/BurstResult.h>

#include <cstdint>

namespace Greengage {

/// Five teams use a pool of 80 slots for 30 s. Each team sends a twentieth of its mean rate. If `burst` is set, the
/// first team sends five times its mean rate for 10 s, which is 125% of the capacity of the pool.
BurstResult runBurst(const RequestPolicy&, bool burst, std::uint64_t seed);

} // namespace Greengage
