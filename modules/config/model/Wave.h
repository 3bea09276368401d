#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

#include <string>
#include <vector>

namespace Greengage {

/// What a wave does with each drained VM.
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

/// A maintenance wave: takes the VMs of some pools out of service, a few at a time, to reboot or move them.
struct Wave {
    WaveId name;
    std::string owner;
    std::vector<PoolId> pools;
    WaveAction action = WaveAction::Reboot;
    /// Destination pool of a Move; empty for a Reboot.
    PoolId target;
    /// Maximum number of VMs that the wave takes out of service at once; the services' availability budgets apply too.
    int maxConcurrent = 1;
    /// Time that a VM may take to drain before the wave returns it to service and reports it as stuck, in seconds.
    int drainTimeoutSeconds = 60;
    int line = 0;
};

} // namespace Greengage
