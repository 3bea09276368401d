#pragma once

#include <jobs/model/StepSpec.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// The work that a caller submits.
struct JobSpec {
    /// Passed unchanged to every task.
    std::string payload;
    std::vector<StepSpec> steps;
    /// If above zero, the steps run this many times: at `firstDueUnixMs` and every `intervalMs` after it.
    std::uint32_t occurrences = 0;
    std::int64_t firstDueUnixMs = 0;
    std::int64_t intervalMs = 0;
};

} // namespace Greengage
