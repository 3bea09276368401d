#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// The phase of one attempt to run a job.
enum class AttemptPhase {
    /// Other tasks are being checkpointed to free capacity for it; it has not been sent.
    Awaiting,
    /// The worker was told to start it.
    Starting,
    Running,
    /// The worker was told to checkpoint or stop it.
    Ending,
    /// Its lease has expired. It may still be running.
    Expired,
};

template <> struct EnumNames<AttemptPhase> {
    static constexpr std::array<std::pair<AttemptPhase, std::string_view>, 5> table { {
        { AttemptPhase::Awaiting, "awaiting" },
        { AttemptPhase::Starting, "starting" },
        { AttemptPhase::Running, "running" },
        { AttemptPhase::Ending, "ending" },
        { AttemptPhase::Expired, "lapsed" },
    } };
};

} // namespace Greengage
