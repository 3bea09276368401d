#include <fleet/requests/admission/RetryAdvice.h>

namespace Greengage {

namespace {

/// For causes that pass when running work ends.
constexpr Milliseconds retrySoon { 500 };
/// For causes that pass when a component comes back.
constexpr Milliseconds retryLater { 2000 };

} // namespace

Milliseconds retryAfter(OutcomeReason reason)
{
    switch (reason) {
    case OutcomeReason::QueueFull:
    case OutcomeReason::LimitReached:
    case OutcomeReason::ShuttingDown:
    case OutcomeReason::DeadlinePassed:
    case OutcomeReason::RetryBudgetSpent:
    case OutcomeReason::EndpointsRefused:
        return retrySoon;
    case OutcomeReason::NoDocument:
    case OutcomeReason::ConfigurationStale:
    case OutcomeReason::NoEndpoint:
    case OutcomeReason::ClaimUnavailable:
        return retryLater;
    default:
        return Milliseconds::zero();
    }
}

} // namespace Greengage
