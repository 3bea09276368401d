#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/messages/AnswerCaller.h>

namespace Greengage {

/// One request of a simulated caller and how it ended.
struct OutcomeRecord {
    bool reportedNotRun() const { return this->ended && this->outcome == Outcome::NotRun; }

    QueueId queue;
    TeamId team;
    Instant submittedAt;
    Instant endedAt;
    bool ended = false;
    Outcome outcome = Outcome::NotRun;
    OutcomeReason reason = OutcomeReason::None;
    /// How often an endpoint began it.
    int begun = 0;
    /// How often bytes of it were sent.
    int sends = 0;
};

} // namespace Greengage
