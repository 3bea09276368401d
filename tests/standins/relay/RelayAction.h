#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// What the relay does with the connections that a rule matches.
enum class RelayAction {
    Pass,
    /// Connections stay open and nothing gets through; what was sent meanwhile passes when the rule is gone.
    Freeze,
    /// Connections are reset.
    Reset,
};

template <> struct EnumNames<RelayAction> {
    static constexpr std::array<std::pair<RelayAction, std::string_view>, 3> table { {
        { RelayAction::Pass, "pass" },
        { RelayAction::Freeze, "freeze" },
        { RelayAction::Reset, "reset" },
    } };
};

} // namespace Greengage
