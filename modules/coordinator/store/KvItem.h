#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// One key of the shared store as of its last write.
struct KvItem {
    std::string key;
    std::string value;
    /// The store's revision of the last write of the key.
    std::int64_t revision = 0;
    /// Whether the key was removed; there is no value then.
    bool isRemoved = false;
};

} // namespace Greengage
