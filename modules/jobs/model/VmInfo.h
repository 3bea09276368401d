#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>
#include <jobs/model/ResourceAmount.h>

#include <string>
#include <vector>

namespace Greengage {

enum class VmPhase {
    Up,
    Moving,
    InMaintenance,
    Down,
};

template <> struct EnumNames<VmPhase> {
    static constexpr std::array<std::pair<VmPhase, std::string_view>, 4> table { {
        { VmPhase::Up, "up" },
        { VmPhase::Moving, "moving" },
        { VmPhase::InMaintenance, "in_upkeep" },
        { VmPhase::Down, "down" },
    } };
};

/// A VM of the fleet and the worker that runs on it.
struct VmInfo {
    VmId id;
    PoolId pool;
    VmPhase state = VmPhase::Down;
    std::vector<std::string> labels;
    ResourceAmount capacity;
    /// Empty if the VM is switched off.
    WorkerId worker;
    /// False if the listing shows no more of the VM than its id, so that a worker may run on it.
    bool isReadable = true;
};

} // namespace Greengage
