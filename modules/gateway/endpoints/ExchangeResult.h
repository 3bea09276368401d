#pragma once

#include <core/text/EnumNames.h>

#include <string>

namespace Greengage {

/// How one HTTP exchange with an endpoint ended.
enum class ExchangeEnd {
    /// A response arrived, complete by its Content-Length.
    Completed,
    /// No byte of the request was sent.
    NotSent,
    /// Bytes were sent, and the connection broke or the response was truncated or malformed.
    Broken,
    /// Bytes were sent, and no complete response arrived in time.
    TimedOut,
};

template <> struct EnumNames<ExchangeEnd> {
    static constexpr std::array<std::pair<ExchangeEnd, std::string_view>, 4> table { {
        { ExchangeEnd::Completed, "completed" },
        { ExchangeEnd::NotSent, "not_sent" },
        { ExchangeEnd::Broken, "broken" },
        { ExchangeEnd::TimedOut, "timed_out" },
    } };
};

/// The result of one HTTP exchange with an endpoint. The fields after `end` are set for Completed only.
struct ExchangeResult {
    ExchangeEnd end = ExchangeEnd::NotSent;
    int status = 0;
    std::string contentType;
    /// The request id that the endpoint echoed; empty if it echoed none.
    std::string echoedRequest;
    std::string body;
};

} // namespace Greengage
