#pragma once

#include <string>

namespace Greengage {

/// Why a stored ledger could not be decoded.
struct LedgerError {
    /// The invalid member and the value that was expected.
    std::string detail;
};

} // namespace Greengage
