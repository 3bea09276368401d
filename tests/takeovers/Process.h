#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// A process of the model. What is scheduled for it waits while it is frozen, and is dropped once it has been killed.
struct Process {
    bool isKilled = false;
    Instant frozenUntil { Instant::min() };
    /// How long it stands still between its next start order and the time at which this leaves; zero for not at all.
    Milliseconds standstillAtStart { 0 };

    bool isFrozen(Instant now) const { return now < this->frozenUntil; }
};

} // namespace Greengage
