#pragma once

#include <core/time/Deadline.h>

#include <core/text/Identifier.h>

#include <cstdint>
#include <set>
#include <vector>

namespace Greengage {

/// An operators' order to take each of a set of VMs down for upkeep.
struct UpkeepWave {
    std::int64_t number = 0;
    std::vector<VmId> machines;
    /// At most this many of them may be down at a time.
    std::uint32_t maximum = 1;
    /// When all are to have been down.
    Deadline dueBy;
    /// VMs whose upkeep has begun or is over.
    std::set<VmId> done;
};

} // namespace Greengage
