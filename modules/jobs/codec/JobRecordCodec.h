#pragma once

#include <jobs/model/JobRecord.h>

#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// The text under which an accepted job is stored.
class JobRecordCodec {
public:
    std::string encode(const JobRecord&) const;

    /// Nothing if the text was not written by `encode`.
    std::optional<JobRecord> decode(std::string_view text) const;
};

} // namespace Greengage
