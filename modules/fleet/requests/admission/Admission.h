#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct Queue;
struct RequestArrived;
struct RequestRow;

/// Accepts or refuses arriving requests. A refused request is answered at once; an accepted one waits in the queue of
/// its team.
class Admission {
public:
    explicit Admission(Tick&);

    void admit(const RequestArrived&);
    /// Ends waiting requests whose queue, team or key was removed by a new document.
    void recheckWaiting();
    /// The same for one waiting request. The row is invalid afterwards if the request ends.
    void recheckWaiting(RequestRow&);

private:
    /// Fills in the team and the key of the row; returns a reason if the request must be refused.
    OutcomeReason identify(const Queue&, const RequestArrived&, RequestRow&) const;
    OutcomeReason checkCapacity(const Queue&, const RequestRow&) const;
    OutcomeReason recheck(const RequestRow&) const;
    /// Team, salt and digest of a key, which reveal that a key was replaced under its old name; empty if there is no
    /// such key.
    std::string digestOf(const KeyId&) const;
    void refuse(const RequestArrived&, OutcomeReason, const TeamId& = {});

    Tick& tick;
};

} // namespace Greengage
