#pragma once

#include <string>

namespace Greengage {

/// The stored ledger could not be decoded; nothing is decided until it can. An operator has to look at it.
struct LedgerUnreadable {
    std::string detail;
};

} // namespace Greengage
