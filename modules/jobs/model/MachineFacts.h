#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>
#include <jobs/model/Demand.h>

#include <string>
#include <vector>

namespace Greengage {

enum class MachineState {
    Up,
    Moving,
    InUpkeep,
    Down,
};

template <> struct EnumNames<MachineState> {
    static constexpr std::array<std::pair<MachineState, std::string_view>, 4> table { {
        { MachineState::Up, "up" },
        { MachineState::Moving, "moving" },
        { MachineState::InUpkeep, "in_upkeep" },
        { MachineState::Down, "down" },
    } };
};

/// A VM of the fleet and the worker that runs on it.
struct MachineFacts {
    VmId id;
    PoolId pool;
    MachineState state = MachineState::Down;
    std::vector<std::string> labels;
    Demand capacity;
    /// Empty if the VM is switched off.
    WorkerId worker;
};

} // namespace Greengage
