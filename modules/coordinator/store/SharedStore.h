#pragma once

#include <coordinator/store/KvCommit.h>
#include <coordinator/store/KvCommitResult.h>
#include <coordinator/store/KvFailure.h>
#include <coordinator/store/KvListing.h>
#include <core/errors/Result.h>
#include <core/time/Instant.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Greengage {

using KvReadCallback = std::function<void(Result<std::optional<KvItem>, KvFailure>)>;
using KvListCallback = std::function<void(Result<KvListing, KvFailure>)>;
using KvCommitCallback = std::function<void(Result<KvCommitResult, KvFailure>)>;

/// The key-value store that all daemons share, which outlives them. Each call ends in exactly one callback, from the
/// loop. `watch` answers with the changes below a prefix after a revision as soon as there are any, or with none when
/// the wait has passed.
template <typename Store>
concept SharedStore = requires(Store& store, std::string text, std::int64_t revision, Milliseconds wait,
    KvReadCallback read, KvListCallback list, KvCommitCallback commit, KvCommit writes)
{
    store.read(text, read);
    store.list(text, list);
    store.watch(text, revision, wait, list);
    store.commit(writes, commit);
};

} // namespace Greengage
