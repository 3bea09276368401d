#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// What a worker says of one attempt.
enum class AttemptStatus {
    Running,
    Completed,
    /// It could not be started; nothing of it has run.
    FailedToStart,
    Failed,
    /// It needed more memory than it had reserved and was stopped.
    OutOfMemory,
    /// It has stopped and can go on from its checkpoint.
    Checkpointed,
    /// It has stopped because it was told to, or because its lease had lapsed.
    Stopped,
};

template <> struct EnumNames<AttemptStatus> {
    static constexpr std::array<std::pair<AttemptStatus, std::string_view>, 7> table { {
        { AttemptStatus::Running, "running" },
        { AttemptStatus::Completed, "completed" },
        { AttemptStatus::FailedToStart, "failed_to_start" },
        { AttemptStatus::Failed, "failed" },
        { AttemptStatus::OutOfMemory, "out_of_memory" },
        { AttemptStatus::Checkpointed, "checkpointed" },
        { AttemptStatus::Stopped, "stopped" },
    } };
};

} // namespace Greengage
