#pragma once

#include <fleet/tests/simulation/OrderResult.h>

#include <cstdint>

namespace Greengage {

/// Submits 400 orders, each up to four times through different daemons, while daemons are killed and frozen,
/// connections break, endpoints become unresponsive and answers to claims are lost. Without idempotency keys no claims
/// are made.
OrderResult runOrders(bool withIdempotencyKeys, std::uint64_t seed);

} // namespace Greengage
