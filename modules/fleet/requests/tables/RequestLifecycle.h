#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct RequestRow;
struct UnknownWork;
struct TeamQueueKey;

/// The moves of a request from stage to stage. It keeps the counts of lines and endpoints in step with the rows.
class RequestLifecycle {
public:
    explicit RequestLifecycle(Tick&);

    /// Adds a new request at the end of its line.
    void enqueue(RequestRow);
    /// Puts a request back to the front of its line. Its slot and unit must have been released or handed over before.
    void requeue(RequestRow&);
    /// Takes a waiting request out of its line and gives it a unit of its team's limit and a slot of an endpoint.
    void start(RequestRow&, const VmId& endpoint);
    /// Frees the slot of an endpoint and the unit of the team's limit that a request holds.
    void release(const RequestRow&);
    /// Frees the slot and the unit of work whose end has become known.
    void release(const UnknownWork&);
    /// Hands the slot and the unit of a sent request over to the table of work whose end is not known.
    void holdAsUnknown(RequestRow&);
    /// Ends a request that is not being sent: "not run", or "unknown" if an earlier attempt may have run it.
    void refuse(RequestRow&, OutcomeReason);
    /// Ends the request with an answer to its caller and forgets it. The row is invalid afterwards. A unit that it
    /// holds must have been released or handed over before.
    void finish(RequestRow&, Outcome, OutcomeReason, Milliseconds retryAfter = {});

private:
    void release(const TeamQueueKey&, const VmId& endpoint);
    void count(const TeamQueueKey&, int waiting, int running);

    Tick& tick;
};

} // namespace Greengage
