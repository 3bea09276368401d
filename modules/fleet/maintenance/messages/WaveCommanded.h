#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <fleet/maintenance/messages/WaveVerb.h>

#include <string>

namespace Greengage {

/// An operator has given a command. Each is settled by exactly one CommandSettled.
struct WaveCommanded {
    /// Chosen at random by whoever submits it. Submitting a command again under the same id has no second effect.
    std::string command;
    WaveId wave;
    WaveVerb verb = WaveVerb::Start;
    /// When to give up; the command is then settled as not accepted, or as unknown if a write of it may have taken
    /// effect.
    Deadline deadline;
};

} // namespace Greengage
