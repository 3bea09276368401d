#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// A VM whose maintenance by a wave is complete.
struct MovedVm {
    VmId vm;
    /// The pool it was moved from, needed for a rollback; empty if it was not moved.
    PoolId from;

    bool operator==(const MovedVm&) const = default;
};

} // namespace Greengage
