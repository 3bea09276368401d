#pragma once

#include <core/text/EnumNames.h>

#include <string>

namespace Greengage {

/// Why a request to an admin port failed.
enum class AdminErrorCode {
    /// No daemon could be reached; the request has had no effect.
    Unreachable,
    /// The request was sent but no answer was received; it may have taken effect.
    AnswerLost,
    /// The daemon rejected the operators' key.
    NotAuthorised,
    /// The daemon answered with another error status.
    Refused,
    /// The daemon's answer could not be decoded.
    Malformed,
};

template <> struct EnumNames<AdminErrorCode> {
    static constexpr std::array<std::pair<AdminErrorCode, std::string_view>, 5> table { {
        { AdminErrorCode::Unreachable, "unreachable" },
        { AdminErrorCode::AnswerLost, "answer_lost" },
        { AdminErrorCode::NotAuthorised, "not_authorised" },
        { AdminErrorCode::Refused, "refused" },
        { AdminErrorCode::Malformed, "malformed" },
    } };
};

/// A failed request to an admin port.
struct AdminError {
    AdminErrorCode code = AdminErrorCode::Unreachable;
    std::string detail;
    /// HTTP status and body if the daemon answered with an error status, otherwise 0 and empty.
    int status = 0;
    std::string body;
};

} // namespace Greengage
