#pragma once

#include <core/time/Deadline.h>

#include <algorithm>

namespace Greengage {

/// The copies of start orders to one worker that may still be carried out: those whose calls are under way, and those
/// whose calls got no answer. They outlive their attempts, their jobs and the incarnation that they were sent to: a new
/// incarnation refuses them only once a higher fencing token has reached it.
class OpenCopies {
public:
    /// A call that got no answer may be carried out until this long after it was sent.
    static constexpr Milliseconds longestDelay { 12'000 };

    void recordSent() { this->callsUnderWay += 1; }

    /// A call has ended at `now`. `isClosed` tells that its copy was carried out, refused or not sent.
    void recordEnded(bool isClosed, Instant now)
    {
        // The row may be a new one, of a worker that was replaced at its address while the call was under way.
        this->callsUnderWay = std::max(0, this->callsUnderWay - 1);
        if (!isClosed)
            this->arriveUntil = std::max(this->arriveUntil, Deadline::after(now, longestDelay));
    }

    /// Whether a copy may still be carried out.
    bool mayArrive(Instant now) const { return this->callsUnderWay > 0 || !this->arriveUntil.hasPassed(now); }

private:
    int callsUnderWay = 0;
    /// The latest time at which a copy arrives whose call got no answer.
    Deadline arriveUntil;
};

} // namespace Greengage
