#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// The state of one wave.
enum class WaveState {
    Running,
    /// No further drain starts; VMs already out of service are finished.
    Paused,
    /// Drains are cancelled, and VMs that a Move has moved are moved back.
    RollingBack,
    /// Every VM has been maintained.
    Done,
    /// Only VMs whose drain timed out are left; `resume` retries them.
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
