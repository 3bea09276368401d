#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct Queue;
struct RequestArrived;
struct RequestRow;

/// Decides whether an arriving request is taken. A request that is not taken is answered at once; the others wait in
/// the line of their queue and team.
class Admission {
public:
    explicit Admission(Tick&);

    void admit(const RequestArrived&);
    /// Ends waiting requests whose queue, team or key a new document has taken away.
    void recheckWaiting();
    /// The same for one waiting request. The row is invalid afterwards if it ends.
    void recheckWaiting(RequestRow&);

private:
    /// Fills in team and key, or gives the reason for refusing.
    OutcomeReason identify(const Queue&, const RequestArrived&, RequestRow&) const;
    OutcomeReason checkCapacity(const Queue&, const RequestRow&) const;
    OutcomeReason recheck(const RequestRow&) const;
    /// Team, salt and digest of a key, so that a key that was replaced under its old name is noticed; empty if absent.
    std::string digestOf(const KeyId&) const;
    void refuse(const RequestArrived&, OutcomeReason, const TeamId& = {});

    Tick& tick;
};

} // namespace Greengage
