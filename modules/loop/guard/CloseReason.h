#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Why the guard closes a connection.
enum class CloseReason {
    /// The deadline of the connection's phase has passed.
    Overdue,
    /// There are more connections than allowed.
    TooManyConnections,
    /// All connections together hold more bytes than allowed.
    MemoryFull,
};

template <> struct EnumNames<CloseReason> {
    static constexpr std::array<std::pair<CloseReason, std::string_view>, 3> table { {
        { CloseReason::Overdue, "overdue" },
        { CloseReason::TooManyConnections, "too_many_connections" },
        { CloseReason::MemoryFull, "memory_full" },
    } };
};

} // namespace Greengage
