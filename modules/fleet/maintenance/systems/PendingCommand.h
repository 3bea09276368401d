#pragma once

#include <fleet/maintenance/messages/WaveCommanded.h>

namespace Greengage {

/// An operator's command that has not been answered yet.
struct PendingCommand {
    WaveCommanded command;
    /// Whether a write that contains it may have taken effect.
    bool mayHaveTakenEffect = false;
};

} // namespace Greengage
