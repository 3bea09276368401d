#pragma once

#include <core/time/Deadline.h>

namespace Greengage {

/// When the leases have expired that earlier leaders granted a worker.
struct EarlierLease {
    /// That of the incarnation which they knew.
    Deadline known;
    /// That of an incarnation of which no report has told.
    Deadline longest;
};

} // namespace Greengage
