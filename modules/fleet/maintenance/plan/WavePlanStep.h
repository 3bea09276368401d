#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>

namespace Greengage {

/// When a planned wave takes one VM out of service and when it returns it, relative to the start of the wave.
struct WavePlanStep {
    VmId vm;
    Seconds takenAt {};
    Seconds returnedAt {};
};

} // namespace Greengage
