#pragma once

#include <core/time/Deadline.h>

namespace Greengage {

/// When the leases of a worker expire.
struct LeaseExpiry {
    /// That of the incarnation which the leader that granted it knew.
    Deadline known;
    /// That of an incarnation of which no report has told.
    Deadline longest;
};

} // namespace Greengage
