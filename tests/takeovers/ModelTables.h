#pragma once

#include <coordinator/store/KvCommit.h>
#include <coordinator/store/KvCommitResult.h>
#include <coordinator/store/KvListing.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Greengage {

/// The state of the model's shared store.
class ModelTables {
public:
    /// A watch that waits for a change.
    struct Watch {
        std::string prefix;
        std::int64_t after = 0;
        std::function<void(const KvListing&)> answer;
    };

    KvCommitResult apply(const KvCommit& commit);
    KvListing list(const std::string& prefix) const;
    /// The changes below the prefix after the revision.
    KvListing changesSince(const std::string& prefix, std::int64_t revision) const;

    /// Returns a number of the watch.
    std::uint64_t addWatch(Watch watch);
    /// Answers the watch with no change, if it still waits.
    void endWatch(std::uint64_t number);

    std::map<std::string, KvItem> items;

private:
    std::map<std::uint64_t, Watch> watches;
    std::uint64_t nextWatch = 0;
    std::vector<KvItem> history;
    std::int64_t revision = 1;
};

} // namespace Greengage
