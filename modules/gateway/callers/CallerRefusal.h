#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Why the gateway refused a request without passing it to the request plane.
enum class CallerRefusal {
    Malformed,
    UnknownPath,
    MethodNotAllowed,
    BodyTooLarge,
    BodiesFull,
};

template <> struct EnumNames<CallerRefusal> {
    static constexpr std::array<std::pair<CallerRefusal, std::string_view>, 5> table { {
        { CallerRefusal::Malformed, "malformed" },
        { CallerRefusal::UnknownPath, "unknown_path" },
        { CallerRefusal::MethodNotAllowed, "method_not_allowed" },
        { CallerRefusal::BodyTooLarge, "body_too_large" },
        { CallerRefusal::BodiesFull, "bodies_full" },
    } };
};

} // namespace Greengage
