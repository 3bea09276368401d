#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/JobProgress.h>

#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// Converts the progress of a job to the text in which it is stored, and back.
class JobProgressCodec {
public:
    std::string encode(const JobProgress&) const;

    /// Returns nullopt if `encode` did not write the text. `job` is the job that the tasks belong to.
    std::optional<JobProgress> decode(const JobId& job, std::string_view text) const;
};

} // namespace Greengage
