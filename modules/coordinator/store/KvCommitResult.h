#pragma once

#include <coordinator/store/KvItem.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace Greengage {

/// What came of a commit that the store has decided on.
struct KvCommitResult {
    bool isCommitted = false;
    /// The revision of the writes, if they were done.
    std::int64_t revision = 0;
    /// If they were not: the expected keys as they are now. Keys that do not exist are left out.
    std::vector<KvItem> current;

    /// The present revision of an expected key; 0 if it does not exist.
    std::int64_t currentRevision(std::string_view key) const
    {
        for (const auto& item : this->current) {
            if (item.key == key && !item.isRemoved)
                return item.revision;
        }
        return 0;
    }
};

} // namespace Greengage
