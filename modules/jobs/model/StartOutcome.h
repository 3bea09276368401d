#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// The result of an order to start an attempt.
enum class StartOutcome {
    Accepted,
    /// The worker has already seen a higher fencing token.
    Fenced,
    /// On the worker, this attempt number or a higher one of the task has been stopped or has ended.
    Outdated,
    /// The deadline of the order had passed when it reached the worker.
    TooLate,
    NoFreeCapacity,
    NoTicket,
    /// The worker refused because it is unhealthy or overloaded.
    Unhealthy,
    /// The order can never be carried out in its present form.
    Invalid,
    /// The worker has restarted: another incarnation of it answered.
    OtherIncarnation,
    /// The order was not sent.
    NotSent,
    /// There was no answer. The worker may have carried out the order, or may still do so.
    NoAnswer,
};

template <> struct EnumNames<StartOutcome> {
    static constexpr std::array<std::pair<StartOutcome, std::string_view>, 11> table { {
        { StartOutcome::Accepted, "accepted" },
        { StartOutcome::Fenced, "fenced" },
        { StartOutcome::Outdated, "outdated" },
        { StartOutcome::TooLate, "too_late" },
        { StartOutcome::NoFreeCapacity, "no_free_capacity" },
        { StartOutcome::NoTicket, "no_ticket" },
        { StartOutcome::Unhealthy, "unhealthy" },
        { StartOutcome::Invalid, "invalid" },
        { StartOutcome::OtherIncarnation, "other_incarnation" },
        { StartOutcome::NotSent, "not_sent" },
        { StartOutcome::NoAnswer, "no_answer" },
    } };
};

} // namespace Greengage
