#pragma once

#include <string>

namespace Greengage {

/// The stored ledger could not be decoded. The plane decides nothing until it can be, and an operator must intervene.
struct LedgerUnreadable {
    std::string detail;
};

} // namespace Greengage
