#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// A key of the store with its value.
struct StoreEntry {
    std::string key;
    std::string value;
    /// Increases with each write of the key; 0 in the answer to a watch means that the key was deleted.
    std::uint64_t version = 0;
};

} // namespace Greengage
