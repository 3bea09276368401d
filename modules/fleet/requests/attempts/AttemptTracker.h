#pragma once

#include <fleet/requests/messages/AttemptEnded.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct RequestRow;
struct RunningReported;

/// Takes the ends of attempts: passes answers on, tries another endpoint where that is allowed, and keeps the unit and
/// the slot of work whose end is not known until its endpoint reports it gone.
class AttemptTracker {
public:
    explicit AttemptTracker(Tick&);

    void handle(const AttemptEnded&);
    void handle(const RunningReported&);
    /// Frees unknown work at endpoints that are no longer listed, and asks the others about theirs.
    void settleUnknown();

private:
    void recordHealth(const RequestRow&, AttemptResult);
    bool mayRetry(const RequestRow&) const;
    /// Queues the request again, or ends it for the reason given.
    void retry(RequestRow&, OutcomeReason);
    /// The same, for a request whose bytes have been sent: the next send costs a part of the retry budget.
    void retryWithinBudget(RequestRow&, OutcomeReason);
    void handleLostAttempt(RequestRow&, OutcomeReason);

    Tick& tick;
};

} // namespace Greengage
