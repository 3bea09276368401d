#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

namespace Greengage {

/// How one attempt at an endpoint ended.
enum class AttemptResult {
    /// A complete answer arrived.
    Answered,
    /// No byte of the request was sent, because the connection was refused or timed out.
    NotSent,
    /// The endpoint answered that it did not run the request (HTTP 503).
    Refused,
    /// Bytes were sent and the connection broke, or the answer was incomplete.
    Broken,
    /// Bytes were sent and no answer arrived before the attempt's deadline.
    Silent,
};

template <> struct EnumNames<AttemptResult> {
    static constexpr std::array<std::pair<AttemptResult, std::string_view>, 5> table { {
        { AttemptResult::Answered, "answered" },
        { AttemptResult::NotSent, "not_sent" },
        { AttemptResult::Refused, "refused" },
        { AttemptResult::Broken, "broken" },
        { AttemptResult::Silent, "silent" },
    } };
};

struct AttemptEnded {
    RequestId request;
    /// Number of the attempt, from 1.
    int attempt = 0;
    VmId endpoint;
    AttemptResult result = AttemptResult::NotSent;
};

} // namespace Greengage
