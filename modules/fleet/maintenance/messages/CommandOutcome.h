#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// The outcome of an operator's command to a wave.
enum class CommandOutcome {
    Accepted,
    /// The document has no such wave.
    UnknownWave,
    /// The wave's state does not allow the command, such as `resume` of a wave that never started.
    WrongState,
    /// The command was not stored before its deadline and has no effect.
    NotAccepted,
    /// The store's answer was lost; the wave's status shows whether the command took effect.
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
