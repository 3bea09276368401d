#pragma once

#include <jobs/model/JobState.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// The stored record of a job that has ended.
struct EndedJob {
    JobState state = JobState::Completed;
    std::int64_t endedUnixMs = 0;

    std::string encode() const;

    /// Nothing if the text was not written by `encode`.
    static std::optional<EndedJob> decode(std::string_view text);
};

} // namespace Greengage
