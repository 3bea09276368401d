#pragma once

#include <jobs/model/JobRecord.h>

#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// Converts an accepted job to the text in which it is stored, and back.
class JobRecordCodec {
public:
    std::string encode(const JobRecord&) const;

    /// Returns nullopt if `encode` did not write the text.
    std::optional<JobRecord> decode(std::string_view text) const;
};

} // namespace Greengage
