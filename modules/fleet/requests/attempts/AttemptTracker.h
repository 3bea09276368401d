#pragma once

#include <fleet/requests/messages/AttemptEnded.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct RequestRow;
struct RunningReported;

/// Handles the end of each attempt: passes answers on and retries at another endpoint where that is allowed. Work whose
/// end is not known keeps its unit of the limit and its slot until the endpoint reports that it no longer runs.
class AttemptTracker {
public:
    explicit AttemptTracker(Tick&);

    void handle(const AttemptEnded&);
    void handle(const RunningReported&);
    /// Releases work whose end is not known at endpoints that are no longer listed, and queries the other endpoints
    /// about theirs.
    void settleUnknown();

private:
    void recordHealth(const RequestRow&, AttemptResult);
    bool mayRetry(const RequestRow&) const;
    /// Queues the request again, or ends it with the given reason if no further attempt is allowed.
    void retry(RequestRow&, OutcomeReason);
    /// The same for a request whose bytes were sent: the next send is charged to the retry budget.
    void retryWithinBudget(RequestRow&, OutcomeReason);
    void handleLostAttempt(RequestRow&, OutcomeReason);

    Tick& tick;
};

} // namespace Greengage
