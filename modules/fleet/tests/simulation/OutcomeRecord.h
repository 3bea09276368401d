#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/messages/AnswerCaller.h>

namespace Greengage {

/// A request of a simulated caller and its outcome.
struct OutcomeRecord {
    bool reportedNotRun() const { return this->ended && this->outcome == Outcome::NotRun; }

    QueueId queue;
    TeamId team;
    Instant submittedAt;
    Instant endedAt;
    bool ended = false;
    Outcome outcome = Outcome::NotRun;
    OutcomeReason reason = OutcomeReason::None;
    /// Number of times that an endpoint started it.
    int begun = 0;
    /// Number of times that bytes of it were sent.
    int sends = 0;
};

} // namespace Greengage
