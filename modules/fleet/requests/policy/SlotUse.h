#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Number of slots of an endpoint that a daemon may use.
enum class SlotUse {
    /// Its share by the demand of all live daemons.
    Divided,
    /// Up to all of them, as a baseline for comparison.
    Undivided,
};

template <> struct EnumNames<SlotUse> {
    static constexpr std::array<std::pair<SlotUse, std::string_view>, 2> table { {
        { SlotUse::Divided, "divided" },
        { SlotUse::Undivided, "undivided" },
    } };
};

} // namespace Greengage
