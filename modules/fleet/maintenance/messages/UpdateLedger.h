#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// Compare-and-swap the ledger's value; answered with LedgerRead or LedgerWriteFailed. At most one is in flight.
struct UpdateLedger {
    /// 0 if the key must not exist.
    std::uint64_t expectedVersion = 0;
    std::string value;
};

} // namespace Greengage
