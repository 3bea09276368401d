#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// The operators' settings for one pool of VMs.
struct PoolPolicy {
    PoolId id;
    /// Whether this is the spare pool, whose VMs are switched off.
    bool spare = false;
    /// Whether the workers themselves refuse tasks that exceed their capacity.
    bool enforcesCapacity = true;
};

} // namespace Greengage
