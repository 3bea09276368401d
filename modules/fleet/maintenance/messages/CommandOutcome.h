#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// What became of an operator's command to a wave.
enum class CommandOutcome {
    Accepted,
    /// The document has no such wave.
    UnknownWave,
    /// The wave's state does not allow it, such as `resume` of a wave that never started.
    WrongState,
    /// The store did not take it in time; it has no effect.
    NotAccepted,
    /// The store's answer was lost; the wave's status tells whether it took effect.
    Unknown,
};

template <> struct EnumNames<CommandOutcome> {
    static constexpr std::array<std::pair<CommandOutcome, std::string_view>, 5> table { {
        { CommandOutcome::Accepted, "accepted" },
        { CommandOutcome::UnknownWave, "unknown_wave" },
        { CommandOutcome::WrongState, "wrong_state" },
        { CommandOutcome::NotAccepted, "not_accepted" },
        { CommandOutcome::Unknown, "unknown" },
    } };
};

} // namespace Greengage
