#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// What the relay does with the connections that match a rule.
enum class RelayAction {
    Pass,
    /// Connections stay open but no bytes are passed on; what was sent meanwhile is passed on once the rule is removed.
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
