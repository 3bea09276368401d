#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>
#include <core/time/Instant.h>

namespace Greengage {

/// The outcomes that a caller can tell apart.
enum class Outcome {
    /// The endpoint's complete answer is passed on.
    Answered,
    /// No endpoint has run the request, and none will.
    NotRun,
    /// An endpoint may have run the request.
    Unknown,
};

template <> struct EnumNames<Outcome> {
    static constexpr std::array<std::pair<Outcome, std::string_view>, 3> table { {
        { Outcome::Answered, "answered" },
        { Outcome::NotRun, "not_run" },
        { Outcome::Unknown, "unknown" },
    } };
};

/// Why a request was not run, or why its outcome is unknown.
enum class OutcomeReason {
    None,
    NoDocument,
    UnknownQueue,
    KeyMissing,
    KeyInvalid,
    ConfigurationStale,
    DeadlineTooLong,
    DeadlinePassed,
    QueueFull,
    LimitReached,
    NoEndpoint,
    EndpointsRefused,
    RetryBudgetSpent,
    ClaimUnavailable,
    DuplicateRequest,
    ShuttingDown,
    ConnectionBroken,
    AnswerTimedOut,
};

template <> struct EnumNames<OutcomeReason> {
    static constexpr std::array<std::pair<OutcomeReason, std::string_view>, 18> table { {
        { OutcomeReason::None, "none" },
        { OutcomeReason::NoDocument, "no_document" },
        { OutcomeReason::UnknownQueue, "unknown_queue" },
        { OutcomeReason::KeyMissing, "key_missing" },
        { OutcomeReason::KeyInvalid, "key_invalid" },
        { OutcomeReason::ConfigurationStale, "configuration_stale" },
        { OutcomeReason::DeadlineTooLong, "deadline_too_long" },
        { OutcomeReason::DeadlinePassed, "deadline_passed" },
        { OutcomeReason::QueueFull, "queue_full" },
        { OutcomeReason::LimitReached, "limit_reached" },
        { OutcomeReason::NoEndpoint, "no_endpoint" },
        { OutcomeReason::EndpointsRefused, "endpoints_refused" },
        { OutcomeReason::RetryBudgetSpent, "retry_budget_spent" },
        { OutcomeReason::ClaimUnavailable, "claim_unavailable" },
        { OutcomeReason::DuplicateRequest, "duplicate_request" },
        { OutcomeReason::ShuttingDown, "shutting_down" },
        { OutcomeReason::ConnectionBroken, "connection_broken" },
        { OutcomeReason::AnswerTimedOut, "answer_timed_out" },
    } };
};

/// Ends a caller's request. For Answered, the gateway passes on the answer of `attempt`.
struct AnswerCaller {
    RequestId request;
    Outcome outcome = Outcome::NotRun;
    OutcomeReason reason = OutcomeReason::None;
    int attempt = 0;
    /// How long to wait before retrying a NotRun request; zero if a retry cannot help.
    Milliseconds retryAfter {};
    /// Team of the request; empty if no key was accepted.
    TeamId team;
};

} // namespace Greengage
