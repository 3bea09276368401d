#pragma once

#include <store/store/StoreEntry.h>

#include <cstdint>
#include <vector>

namespace Greengage {

/// The answer to a watch: the changes since the requested revision.
struct WatchResult {
    /// The store's revision, which increases with each write of any key. Pass it to the next watch.
    std::uint64_t storeRevision = 0;
    /// Changed keys, each with its newest value; empty if nothing changed within the wait.
    std::vector<StoreEntry> entries;
};

} // namespace Greengage
