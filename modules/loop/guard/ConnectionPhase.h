#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// What a server's connection is waiting for.
enum class ConnectionPhase {
    /// The first byte of a request.
    Idle,
    /// The end of a request's headers.
    Headers,
    /// The end of a request's body.
    Body,
    /// The server's answer to a complete request.
    Handling,
    /// The client to read the answer.
    Writing,
};

template <> struct EnumNames<ConnectionPhase> {
    static constexpr std::array<std::pair<ConnectionPhase, std::string_view>, 5> table { {
        { ConnectionPhase::Idle, "idle" },
        { ConnectionPhase::Headers, "headers" },
        { ConnectionPhase::Body, "body" },
        { ConnectionPhase::Handling, "handling" },
        { ConnectionPhase::Writing, "writing" },
    } };
};

} // namespace Greengage
