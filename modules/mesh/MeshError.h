#pragma once

#include <core/text/EnumNames.h>

#include <string>

namespace Greengage {

/// Why a call to a peer failed.
enum class MeshErrorCode {
    /// The connection could not be opened, or it failed.
    Disconnected,
    /// No answer came in time.
    TimedOut,
    /// The peer answered with an error.
    Refused,
    /// The answer could not be decoded.
    Malformed,
};

template <> struct EnumNames<MeshErrorCode> {
    static constexpr std::array<std::pair<MeshErrorCode, std::string_view>, 4> table { {
        { MeshErrorCode::Disconnected, "disconnected" },
        { MeshErrorCode::TimedOut, "timed_out" },
        { MeshErrorCode::Refused, "refused" },
        { MeshErrorCode::Malformed, "malformed" },
    } };
};

/// A failed call to a peer.
struct MeshError {
    MeshErrorCode code = MeshErrorCode::Disconnected;
    std::string detail;
};

} // namespace Greengage
