#pragma once

#include <core/time/Instant.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// The ledger's value has been read from the store, or a watch has told of it, or our own UpdateLedger succeeded (then
/// with the value and version written).
struct LedgerRead {
    /// When the read, watch or write was sent: the value is at least as new as this.
    Instant askedAt;
    /// 0 if the key does not exist yet.
    std::uint64_t version = 0;
    std::string value;
};

} // namespace Greengage
