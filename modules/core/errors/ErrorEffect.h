#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// What an unforeseen error may have left half changed.
enum class ErrorEffect {
    /// Only the request, entry or record that was worked on.
    ItemOnly,
    /// State that later work builds on.
    StateInDoubt,
};

template <> struct EnumNames<ErrorEffect> {
    static constexpr std::array<std::pair<ErrorEffect, std::string_view>, 2> table { {
        { ErrorEffect::ItemOnly, "item_only" },
        { ErrorEffect::StateInDoubt, "state_in_doubt" },
    } };
};

} // namespace Greengage
