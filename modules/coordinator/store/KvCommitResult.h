#pragma once

#include <coordinator/store/KvItem.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace Greengage {

/// The result of a commit that the store has decided on.
struct KvCommitResult {
    bool isCommitted = false;
    /// The revision of the writes, if they were applied.
    std::int64_t revision = 0;
    /// If the writes were not applied: the expected keys as they are now. Keys that do not exist are left out.
    std::vector<KvItem> current;

    /// An expected key as it is now; null if it does not exist. Valid only if the commit was not applied.
    const KvItem* find(std::string_view key) const
    {
        for (const auto& item : this->current) {
            if (item.key == key && !item.isRemoved)
                return &item;
        }
        return nullptr;
    }

    /// The current revision of an expected key; 0 if it does not exist. Valid only if the commit was not applied.
    std::int64_t currentRevision(std::string_view key) const
    {
        const KvItem* item = this->find(key);
        return item ? item->revision : 0;
    }
};

} // namespace Greengage
