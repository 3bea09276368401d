#pragma once

#include <jobs/model/WorkerFacts.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// The workers that the holder of the leadership may have given tasks to, as they are stored. The directory is not
/// enough: it drops workers that cannot reach the store, though they run on.
struct CrewRecord {
    /// Only what is needed to reach the workers: id, pool, address and birth.
    std::vector<WorkerFacts> workers;

    std::string encode() const;

    /// Nothing if the text was not written by `encode`.
    static std::optional<CrewRecord> decode(std::string_view text);
};

} // namespace Greengage
