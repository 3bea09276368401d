#pragma once

#include <core/text/EnumNames.h>
#include <core/time/Instant.h>

#include <string>

namespace Greengage {

/// What a caller saw of one attempt.
enum class SeenOutcome {
    Answered,
    NotRun,
    Unknown,
    /// The connection broke, or no answer came in the caller's own time.
    Broken,
    /// No connection could be made, so no byte was sent.
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

/// The end of one attempt: "event=answer".
struct AnswerEvent {
    std::string call;
    SeenOutcome outcome = SeenOutcome::Broken;
    /// The daemon's request id; empty if none came.
    std::string request;
    /// For Answered: whether the body was whole and the attempt's own.
    bool whole = true;
    Instant at;
};

} // namespace Greengage
