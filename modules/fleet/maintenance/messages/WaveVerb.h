#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// A command that an operator can give to a wave.
enum class WaveVerb {
    Start,
    Pause,
    Resume,
    Rollback,
};

template <> struct EnumNames<WaveVerb> {
    static constexpr std::array<std::pair<WaveVerb, std::string_view>, 4> table { {
        { WaveVerb::Start, "start" },
        { WaveVerb::Pause, "pause" },
        { WaveVerb::Resume, "resume" },
        { WaveVerb::Rollback, "rollback" },
    } };
};

} // namespace Greengage
