#pragma once

#include <core/time/Instant.h>
#include <loop/memory/EventDeleter.h>

#include <event2/event.h>
#include <functional>

namespace Greengage {

/// An event loop for one test.
class LoopRunner {
public:
    event_base& base() { return *this->loop; }

    /// Runs until the condition holds and returns true. Gives up after 20 seconds, which only a hanging test takes, and
    /// returns false.
    bool runUntil(const std::function<bool()>& condition)
    {
        constexpr Seconds hangTimeout { 20 };
        Instant deadline = BootClock::now() + hangTimeout;
        while (!condition()) {
            if (BootClock::now() > deadline)
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
