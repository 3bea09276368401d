#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// What operators decide about one pool of VMs.
struct PoolPolicy {
    PoolId id;
    /// VMs of the spare pool are switched off.
    bool spare = false;
    /// Whether workers refuse by themselves what exceeds their capacity.
    bool enforcesCapacity = true;
};

} // namespace Greengage
