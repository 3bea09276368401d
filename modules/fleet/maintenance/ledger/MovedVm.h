#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// A VM that a wave has finished with.
struct MovedVm {
    VmId vm;
    /// Pool that it came from, for a rollback; empty when it was not moved.
    PoolId from;

    bool operator==(const MovedVm&) const = default;
};

} // namespace Greengage
