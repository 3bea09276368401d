#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/maintenance/messages/WaveVerb.h>

#include <string>

namespace Greengage {

/// An operator submitted a command. Each command is answered by exactly one CommandSettled.
struct WaveCommanded {
    /// Random id chosen by the submitter. Submitting a command again under the same id has no further effect.
    std::string command;
    WaveId wave;
    WaveVerb verb = WaveVerb::Start;
    /// After this deadline the command is answered as not accepted, or as unknown if a write of it may have taken
    /// effect.
    Deadline deadline;
};

} // namespace Greengage
