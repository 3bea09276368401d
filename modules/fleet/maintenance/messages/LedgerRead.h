#pragma once

#include <core/time/Instant.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// The ledger's value was read from the store, a watch reported it, or this daemon's UpdateLedger succeeded (with the
/// value and version written).
struct LedgerRead {
    /// When the read, watch or write was sent; the value is at least as new as this instant.
    Instant askedAt;
    /// 0 if the key does not exist.
    std::uint64_t version = 0;
    std::string value;
};

} // namespace Greengage
