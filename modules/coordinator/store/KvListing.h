#pragma once

#include <coordinator/store/KvItem.h>

#include <cstdint>
#include <vector>

namespace Greengage {

/// The keys below a prefix, or their changes, as of a revision of the store.
struct KvListing {
    std::vector<KvItem> items;
    std::int64_t revision = 0;
};

} // namespace Greengage
