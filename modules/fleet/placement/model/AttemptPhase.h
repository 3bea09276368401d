#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Where one attempt to run a job stands.
enum class AttemptPhase {
    /// Its space is being freed by checkpoints of others; nothing has been sent.
    Awaiting,
    /// The worker has been told to start it.
    Starting,
    Running,
    /// The worker has been told to checkpoint or stop it.
    Ending,
    /// Its lease has lapsed. It may be running still.
    Lapsed,
};

template <> struct EnumNames<AttemptPhase> {
    static constexpr std::array<std::pair<AttemptPhase, std::string_view>, 5> table { {
        { AttemptPhase::Awaiting, "awaiting" },
        { AttemptPhase::Starting, "starting" },
        { AttemptPhase::Running, "running" },
        { AttemptPhase::Ending, "ending" },
        { AttemptPhase::Lapsed, "lapsed" },
    } };
};

} // namespace Greengage
