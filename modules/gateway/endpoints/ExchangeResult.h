#pragma once

#include <core/text/EnumNames.h>

#include <string>

namespace Greengage {

/// How one HTTP exchange with an endpoint ended.
enum class ExchangeEnd {
    /// A response came, whole by its Content-Length.
    Completed,
    /// No byte of the request left this process.
    NotSent,
    /// Bytes left, and the connection broke or the response was cut short or malformed.
    Broken,
    /// Bytes left, and no whole response came in time.
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

/// The end of one HTTP exchange with an endpoint. The fields after `end` are set for Completed only.
struct ExchangeResult {
    ExchangeEnd end = ExchangeEnd::NotSent;
    int status = 0;
    std::string contentType;
    /// The request id that the endpoint echoed; empty if none.
    std::string echoedRequest;
    std::string body;
};

} // namespace Greengage
