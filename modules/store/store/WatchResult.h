#pragma once

#include <store/store/StoreEntry.h>

#include <cstdint>
#include <vector>

namespace Greengage {

/// The answer to a watch: what has changed since the revision that was asked about.
struct WatchResult {
    /// The store's own revision, which grows with each write of any key. The next watch passes it on.
    std::uint64_t storeRevision = 0;
    /// Changed keys, each with its newest value; empty if the wait ended first.
    std::vector<StoreEntry> entries;
};

} // namespace Greengage
