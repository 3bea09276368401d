#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// How a team's upper limit is split between daemons.
enum class LimitSplit {
    /// Allotments that move with the demand.
    Escrow,
    /// Equal fixed parts for all listed daemons, as a baseline to compare with.
    EqualParts,
};

template <> struct EnumNames<LimitSplit> {
    static constexpr std::array<std::pair<LimitSplit, std::string_view>, 2> table { {
        { LimitSplit::Escrow, "escrow" },
        { LimitSplit::EqualParts, "equal_parts" },
    } };
};

} // namespace Greengage
