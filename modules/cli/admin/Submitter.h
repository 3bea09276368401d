#pragma once

#include <cli/commands/CommandError.h>
#include <config/acceptance/DocumentSubmission.h>
#include <config/admin/ApplyAnswer.h>
#include <core/errors/Result.h>
#include <core/time/Deadline.h>

namespace Greengage {

class AdminClient;
struct AdminError;

/// Brings a change of the document into force. A change whose answer was lost, or that a daemon could not take, is
/// submitted again under its change id, through one daemon after another, until the deadline; the change id makes sure
/// that it is made at most once.
class Submitter {
public:
    /// Pause between two attempts, and between two questions whether a change is in force.
    static constexpr Milliseconds retryPause { 200 };

    Submitter(AdminClient&, Deadline);

    /// Ends when the change is accepted or refused, when no daemon at all can be reached, or at the deadline.
    Result<ApplyAnswer, CommandError> submit(const DocumentSubmission&);

    /// Waits until the accepted change is in force everywhere, or the deadline has passed; `inForce` tells which.
    ApplyAnswer waitUntilInForce(ApplyAnswer);

private:
    bool isLate() const;
    CommandError giveUp() const;

    AdminClient& client;
    Deadline deadline;
    bool mayBeMade = false;
    /// How many daemons in a row could not be reached.
    std::size_t unreachable = 0;
    std::string lastFailure;
};

} // namespace Greengage
