#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// A compare-and-swap of one key.
struct StoreWrite {
    std::string key;
    std::string value;
    /// Version that the key must have; 0 if the key must not exist.
    std::uint64_t expectedVersion = 0;
    /// Lease whose expiry deletes the key; empty for a key without a lease.
    std::string leaseId;
};

} // namespace Greengage
