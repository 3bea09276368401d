#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

enum class JobState {
    Waiting,
    Running,
    Completed,
    Failed,
    Cancelled,
};

template <> struct EnumNames<JobState> {
    static constexpr std::array<std::pair<JobState, std::string_view>, 5> table { {
        { JobState::Waiting, "waiting" },
        { JobState::Running, "running" },
        { JobState::Completed, "completed" },
        { JobState::Failed, "failed" },
        { JobState::Cancelled, "cancelled" },
    } };
};

} // namespace Greengage
