#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// Take a VM out of one pool's `vms` and into another's in one change of the document. The change must be made against
/// exactly `baseRevision`, without merging into a newer one, and is dropped if that is no longer the newest: a newer
/// document leads to a new MoveVm. The outcome shows in the next DocumentApplied.
struct MoveVm {
    VmId vm;
    PoolId from;
    PoolId to;
    std::uint64_t baseRevision = 0;
};

} // namespace Greengage
