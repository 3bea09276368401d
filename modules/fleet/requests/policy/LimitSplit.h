#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// How a team's upper limit is divided between daemons.
enum class LimitSplit {
    /// Allotments that follow the demand.
    Escrow,
    /// Equal fixed shares for all listed daemons, as a baseline for comparison.
    EqualParts,
};

template <> struct EnumNames<LimitSplit> {
    static constexpr std::array<std::pair<LimitSplit, std::string_view>, 2> table { {
        { LimitSplit::Escrow, "escrow" },
        { LimitSplit::EqualParts, "equal_parts" },
    } };
};

} // namespace Greengage
