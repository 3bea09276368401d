#pragma once

#include <core/text/EnumNames.h>
#include <core/time/Instant.h>

#include <string>

namespace Greengage {

/// The outcome of one attempt as its caller observed it.
enum class SeenOutcome {
    Answered,
    NotRun,
    Unknown,
    /// The connection broke, or no answer came within the caller's own time limit.
    Broken,
    /// No connection could be established, so no byte was sent.
    NotSent,
};

template <> struct EnumNames<SeenOutcome> {
    static constexpr std::array<std::pair<SeenOutcome, std::string_view>, 5> table { {
        { SeenOutcome::Answered, "answered" },
        { SeenOutcome::NotRun, "not_run" },
        { SeenOutcome::Unknown, "unknown" },
        { SeenOutcome::Broken, "broken" },
        { SeenOutcome::NotSent, "not_sent" },
    } };
};

/// The end of one attempt, recorded as "event=answer".
struct AnswerEvent {
    std::string call;
    SeenOutcome outcome = SeenOutcome::Broken;
    /// The request id that the daemon returned; empty if there was none.
    std::string request;
    /// For Answered: whether the body was complete and belonged to this attempt.
    bool whole = true;
    Instant at;
};

} // namespace Greengage
