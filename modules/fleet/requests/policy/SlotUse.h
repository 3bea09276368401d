#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// How many slots of an endpoint a daemon uses.
enum class SlotUse {
    /// Its part by the demand of all live daemons.
    Divided,
    /// Up to all of them, as a baseline to compare with.
    Undivided,
};

template <> struct EnumNames<SlotUse> {
    static constexpr std::array<std::pair<SlotUse, std::string_view>, 2> table { {
        { SlotUse::Divided, "divided" },
        { SlotUse::Undivided, "undivided" },
    } };
};

} // namespace Greengage
