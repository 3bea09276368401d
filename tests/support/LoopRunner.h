#pragma once

#include <core/time/Instant.h>
#include <loop/memory/EventDeleter.h>

#include <event2/event.h>
#include <functional>

namespace Greengage {

/// A loop for one test.
class LoopRunner {
public:
    event_base& base() { return *this->loop; }

    /// Runs until the condition holds; gives up after a bound that only a hang reaches. Returns whether it held.
    bool runUntil(const std::function<bool()>& condition)
    {
        constexpr Seconds hangBound { 20 };
        Instant giveUp = BootClock::now() + hangBound;
        while (!condition()) {
            if (BootClock::now() > giveUp)
                return false;
            timeval step { 0, 2000 };
            event_base_loopexit(this->loop.get(), &step);
            event_base_loop(this->loop.get(), EVLOOP_ONCE);
        }
        return true;
    }

private:
    EventPointer<event_base> loop { event_base_new() };
};

} // namespace Greengage
