#pragma once

#include <jobs/model/WorkerInfo.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// The stored worker roster: the workers that a leader may have given tasks to. The directory is not enough: it drops
/// workers that cannot reach the store, though they keep running.
struct WorkerRosterRecord {
    /// Only what is needed to reach the workers: id, pool, address, port and start time.
    std::vector<WorkerInfo> workers;
    /// Those of them that are known to have started again under their ids.
    std::set<WorkerId> restarted;

    std::string encode() const;

    /// Nothing if the text was not written by `encode`.
    static std::optional<WorkerRosterRecord> decode(std::string_view text);
};

} // namespace Greengage
