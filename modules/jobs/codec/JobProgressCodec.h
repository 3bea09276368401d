#pragma once

#include <core/text/Identifier.h>
#include <jobs/model/JobProgress.h>

#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// The text under which a job's progress is stored.
class JobProgressCodec {
public:
    std::string encode(const JobProgress&) const;

    /// Nothing if the text was not written by `encode`. `job` is the job that the tasks belong to.
    std::optional<JobProgress> decode(const JobId& job, std::string_view text) const;
};

} // namespace Greengage
