#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/model/TaskName.h>
#include <jobs/systems/AbsenceReason.h>

#include <optional>

namespace Greengage {

/// A long-running task that is not at work.
struct TaskAbsence {
    TaskName task;
    AbsenceReason reason = AbsenceReason::NotPlaced;
    Instant since;
    /// The worker that the reason is about; empty if it is about none.
    WorkerId worker;
    /// When its start was ordered, or the leader began to wait for that order; nothing if no attempt is pending.
    std::optional<Instant> orderedAt;
};

} // namespace Greengage
