#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// What happens to the calls to one worker, whichever daemon makes them.
struct WorkerFaults {
    /// The worker is down, or cut off: no call arrives.
    bool isDown = false;
    /// Calls that do not arrive fail at once, as on a connection that is reset, instead of at the end of their time.
    bool isResetting = false;
    /// Whoever calls the worker while it is down is refused the connection, since its process has ended.
    bool isRefusing = false;

    bool refusesConnections() const { return this->isDown && this->isRefusing; }

    /// Calls arrive and are carried out, but no answer returns.
    bool losesAnswers = false;
    /// The share of calls, in percent, that get no answer and are carried out after 2 to 12 s, by whichever incarnation
    /// the worker has then.
    unsigned heldUpPercent = 0;

    bool operator==(const WorkerFaults&) const = default;
};

} // namespace Greengage
