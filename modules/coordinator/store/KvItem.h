#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// One key of the shared store as it was written last.
struct KvItem {
    std::string key;
    std::string value;
    /// The store's revision of the last write of the key.
    std::int64_t revision = 0;
    /// The key was removed; there is no value.
    bool isRemoved = false;
};

} // namespace Greengage
