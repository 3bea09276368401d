#include <fleet/requests/admission/RetryAdvice.h>

namespace Greengage {

namespace {

/// For conditions that end when running requests end.
constexpr Milliseconds retrySoon { 500 };
/// For conditions that end when a component recovers.
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
