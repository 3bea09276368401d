#pragma once

#include <coordinator/tests/After.h>
#include <core/log/Log.h>
#include <core/time/Deadline.h>
#include <loop/memory/EventDeleter.h>

#include <event2/event.h>

namespace Greengage {

/// An event loop that a test runs until a condition holds.
struct LoopFixture {
    LoopFixture() { startLog(LogLevel::Error); }

    /// Runs the loop until the condition holds. Returns false if it does not hold in time.
    template <typename Condition> bool runUntil(Condition condition, Milliseconds atMost = Milliseconds(8000))
    {
        auto deadline = Deadline::after(BootClock::now(), atMost);
        while (!condition() && !deadline.hasPassed(BootClock::now())) {
            after(*this->base, Milliseconds(2), [] {});
            event_base_loop(this->base.get(), EVLOOP_ONCE);
        }
        return condition();
    }

    void runFor(Milliseconds span)
    {
        this->runUntil([] { return false; }, span);
    }

    EventPointer<event_base> base { event_base_new() };
};

} // namespace Greengage
