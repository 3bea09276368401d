#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// What came of an order to start an attempt.
enum class StartOutcome {
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has stopped or ended this attempt number or a higher one.
    Outdated,
    /// The order's deadline had passed at the worker.
    TooLate,
    NoRoom,
    NoTicket,
    /// The worker did nothing because it is unhealthy or overloaded.
    Unhealthy,
    /// The order can never be carried out as it stands.
    Invalid,
    /// Another life of the worker answered.
    OtherLife,
    /// The order did not leave this process.
    NotSent,
    /// No answer; the worker may have carried the order out, or may do so later.
    NoAnswer,
};

template <> struct EnumNames<StartOutcome> {
    static constexpr std::array<std::pair<StartOutcome, std::string_view>, 11> table { {
        { StartOutcome::Accepted, "accepted" },
        { StartOutcome::Fenced, "fenced" },
        { StartOutcome::Outdated, "outdated" },
        { StartOutcome::TooLate, "too_late" },
        { StartOutcome::NoRoom, "no_room" },
        { StartOutcome::NoTicket, "no_ticket" },
        { StartOutcome::Unhealthy, "unhealthy" },
        { StartOutcome::Invalid, "invalid" },
        { StartOutcome::OtherLife, "other_life" },
        { StartOutcome::NotSent, "not_sent" },
        { StartOutcome::NoAnswer, "no_answer" },
    } };
};

} // namespace Greengage
