#pragma once

#include <jobs/model/StepSpec.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// What a caller asks to be run.
struct JobSpec {
    /// Passed to every task unread.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Above zero, the steps run this many times, at `firstDueUnixMs` and every `intervalMs` after it.
    std::uint32_t occurrences = 0;
    std::int64_t firstDueUnixMs = 0;
    std::int64_t intervalMs = 0;
};

} // namespace Greengage
