#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Where one wave stands.
enum class WaveState {
    Running,
    /// No further VM is taken; those already taken are finished.
    Paused,
    /// Draining VMs are put back, and VMs that a Move has moved are moved back.
    RollingBack,
    /// Every VM has been maintained.
    Done,
    /// Nothing is left to do but VMs that would not drain; `resume` tries them again.
    Stuck,
    RolledBack,
};

template <> struct EnumNames<WaveState> {
    static constexpr std::array<std::pair<WaveState, std::string_view>, 6> table { {
        { WaveState::Running, "running" },
        { WaveState::Paused, "paused" },
        { WaveState::RollingBack, "rolling_back" },
        { WaveState::Done, "done" },
        { WaveState::Stuck, "stuck" },
        { WaveState::RolledBack, "rolled_back" },
    } };
};

} // namespace Greengage
