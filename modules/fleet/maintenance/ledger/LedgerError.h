#pragma once

#include <string>

namespace Greengage {

/// Why a stored ledger could not be decoded.
struct LedgerError {
    /// The member at fault and what was expected there.
    std::string detail;
};

} // namespace Greengage
