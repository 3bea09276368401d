#pragma once

#include <cli/commands/CommandError.h>
#include <config/acceptance/DocumentSubmission.h>
#include <config/admin/ApplyAnswer.h>
#include <core/errors/Result.h>
#include <core/time/Deadline.h>

namespace Greengage {

class AdminClient;
struct AdminError;

/// Submits a change to the document and waits until it is in force. If the answer is lost, or a daemon cannot accept
/// the change now, it is submitted again under the same change id to the next daemon, until the deadline. The change id
/// ensures that the change is made at most once.
class Submitter {
public:
    /// Delay between two submissions, and between two status requests.
    static constexpr Milliseconds retryDelay { 200 };

    Submitter(AdminClient&, Deadline);

    /// Returns when the change is accepted or refused, when no daemon can be reached, or at the deadline.
    Result<ApplyAnswer, CommandError> submit(const DocumentSubmission&);

    /// Waits until the accepted change is in force everywhere or the deadline has passed. `inForce` of the result says
    /// which of the two happened.
    ApplyAnswer waitUntilInForce(ApplyAnswer);

private:
    bool deadlineHasPassed() const;
    CommandError unfinishedError() const;

    AdminClient& client;
    Deadline deadline;
    /// Whether an earlier submission may have been accepted although no answer confirmed it.
    bool mayHaveBeenAccepted = false;
    /// Number of consecutive submissions whose daemon could not be reached.
    std::size_t consecutiveUnreachable = 0;
    std::string lastErrorDetail;
};

} // namespace Greengage
