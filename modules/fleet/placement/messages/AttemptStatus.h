#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// The status of an attempt as reported by its worker.
enum class AttemptStatus {
    Running,
    Completed,
    /// It could not be started; no part of it has run.
    FailedToStart,
    Failed,
    /// It needed more memory than was reserved and was stopped.
    OutOfMemory,
    /// It has stopped and can be resumed from its checkpoint.
    Checkpointed,
    /// It has stopped on request, or because its lease expired.
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
