#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct RequestRow;
struct UnknownWork;
struct TeamQueueKey;

/// Transitions of a request between its stages. Updates the counts of team queues and endpoints together with the rows.
class RequestLifecycle {
public:
    explicit RequestLifecycle(Tick&);

    /// Adds a new request at the end of its team queue.
    void enqueue(RequestRow);
    /// Puts a request back at the front of its team queue. Its slot and its unit of the limit must have been released
    /// or handed over before.
    void requeue(RequestRow&);
    /// Moves a waiting request to the stage Sent and gives it a unit of its team's limit and a slot of an endpoint.
    void start(RequestRow&, const VmId& endpoint);
    /// Releases the endpoint's slot and the unit of the team's limit that a request holds.
    void release(const RequestRow&);
    /// Releases the slot and the unit of work that is known to have ended.
    void release(const UnknownWork&);
    /// Moves the slot and the unit of a sent request to the table of work whose end is not known.
    void holdAsUnknown(RequestRow&);
    /// Ends a request that has no attempt in progress: as "not run", or as "unknown" if an earlier attempt may have run
    /// it.
    void refuse(RequestRow&, OutcomeReason);
    /// Answers the caller and removes the request. The row is invalid afterwards. A unit that it holds must have been
    /// released or handed over before.
    void finish(RequestRow&, Outcome, OutcomeReason, Milliseconds retryAfter = {});

private:
    void release(const TeamQueueKey&, const VmId& endpoint);
    void count(const TeamQueueKey&, int waiting, int running);

    Tick& tick;
};

} // namespace Greengage
