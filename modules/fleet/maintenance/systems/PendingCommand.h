#pragma once

#include <fleet/maintenance/messages/WaveCommanded.h>

namespace Greengage {

/// An operator's command that is not settled yet.
struct PendingCommand {
    WaveCommanded command;
    /// Whether a write that holds it may have taken effect.
    bool mayHaveTakenEffect = false;
};

} // namespace Greengage
