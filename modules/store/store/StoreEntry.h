#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// One key of the store with its value.
struct StoreEntry {
    std::string key;
    std::string value;
    /// Grows with each write of the key; 0 in a watch's answer means that the key was deleted.
    std::uint64_t version = 0;
};

} // namespace Greengage
