#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// A process of the model. What is scheduled for it waits while it is frozen, and is dropped once it has been killed.
struct Process {
    bool isKilled = false;
    Instant frozenUntil { Instant::min() };

    bool isFrozen(Instant now) const { return now < this->frozenUntil; }
};

} // namespace Greengage
