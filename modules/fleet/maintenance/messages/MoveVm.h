#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// Move a VM from one pool's `vms` to another's in a single document change. The change must be based on exactly
/// `baseRevision`, without a merge into a newer document, and is dropped if that is no longer the newest: a newer
/// document leads to a new MoveVm. The next DocumentApplied shows the outcome.
struct MoveVm {
    VmId vm;
    PoolId from;
    PoolId to;
    std::uint64_t baseRevision = 0;
};

} // namespace Greengage
