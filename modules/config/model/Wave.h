#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

#include <string>
#include <vector>

namespace Greengage {

/// What a wave does to each VM once it is drained.
enum class WaveAction {
    Reboot,
    /// Moves the VM to the pool named by `target`.
    Move,
};

template <> struct EnumNames<WaveAction> {
    static constexpr std::array<std::pair<WaveAction, std::string_view>, 2> table { {
        { WaveAction::Reboot, "reboot" },
        { WaveAction::Move, "move" },
    } };
};

/// A maintenance wave over the VMs of some pools.
struct Wave {
    WaveId name;
    std::string owner;
    std::vector<PoolId> pools;
    WaveAction action = WaveAction::Reboot;
    /// Destination of a Move; empty for a Reboot.
    PoolId target;
    /// How many VMs the wave may have out of service at once; the services' budgets bind as well.
    int maxConcurrent = 1;
    /// How long a VM may take to drain before the wave puts it back and reports it, in seconds.
    int drainTimeoutSeconds = 60;
    int line = 0;
};

} // namespace Greengage
