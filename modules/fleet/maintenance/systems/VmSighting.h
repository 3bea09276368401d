#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// What a VM last told of itself.
struct VmSighting {
    /// When the question was sent.
    Instant askedAt = Instant::min();
    /// Whether nothing was running on it.
    bool isIdle = false;
};

} // namespace Greengage
