#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Why a long-running task is not at work. Of several reasons for which no worker takes a waiting task, the one of the
/// worker that comes closest to taking it counts; these reasons are listed in the order of the checks.
enum class AbsenceReason {
    NoQueuePolicy,
    JobSetAside,
    TeamAtMaximum,
    /// Some members of the gang are still stopping.
    GangIncomplete,
    /// The pool has no worker with the label that the step requires.
    NoWorker,
    NoRoom,
    PerWorkerLimit,
    WorkerNotListed,
    WorkerNotOnRoster,
    WorkerNotReached,
    /// A call to the worker got no answer.
    WorkerUnresponsive,
    WorkerLeaving,
    WorkerQuarantined,
    NoTicket,
    /// A worker with room accepts tasks, and placement has not used it.
    NotPlaced,
    /// The attempt is planned, and its start order is not sent until the plan is stored.
    AttemptNotStored,
    StartUnanswered,
    AttemptInDoubt,
    AttemptStopping,
    /// The worker answers, but has not listed the attempt lately.
    AttemptNotListed,
    Throttled,
};

template <> struct EnumNames<AbsenceReason> {
    static constexpr std::array<std::pair<AbsenceReason, std::string_view>, 21> table { {
        { AbsenceReason::NoQueuePolicy, "no_queue_policy" },
        { AbsenceReason::JobSetAside, "job_set_aside" },
        { AbsenceReason::TeamAtMaximum, "team_at_maximum" },
        { AbsenceReason::GangIncomplete, "gang_incomplete" },
        { AbsenceReason::NoWorker, "no_worker" },
        { AbsenceReason::NoRoom, "no_room" },
        { AbsenceReason::PerWorkerLimit, "per_worker_limit" },
        { AbsenceReason::WorkerNotListed, "worker_not_listed" },
        { AbsenceReason::WorkerNotOnRoster, "worker_not_on_roster" },
        { AbsenceReason::WorkerNotReached, "worker_not_reached" },
        { AbsenceReason::WorkerUnresponsive, "worker_unresponsive" },
        { AbsenceReason::WorkerLeaving, "worker_leaving" },
        { AbsenceReason::WorkerQuarantined, "worker_quarantined" },
        { AbsenceReason::NoTicket, "no_ticket" },
        { AbsenceReason::NotPlaced, "not_placed" },
        { AbsenceReason::AttemptNotStored, "attempt_not_stored" },
        { AbsenceReason::StartUnanswered, "start_unanswered" },
        { AbsenceReason::AttemptInDoubt, "attempt_in_doubt" },
        { AbsenceReason::AttemptStopping, "attempt_stopping" },
        { AbsenceReason::AttemptNotListed, "attempt_not_listed" },
        { AbsenceReason::Throttled, "throttled" },
    } };
};

} // namespace Greengage
