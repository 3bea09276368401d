#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// Identifies one task of one job.
struct TaskName {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    /// Returns the text form JOB.OCCURRENCE.STEP.INDEX.
    std::string text() const;

    /// Parses the result of `text`. Returns nullopt if the text has another form.
    static std::optional<TaskName> parse(std::string_view text);

    friend auto operator<=>(const TaskName&, const TaskName&) = default;
    friend bool operator==(const TaskName&, const TaskName&) = default;
};

} // namespace Greengage
