#pragma once

#include <core/time/Instant.h>
#include <loop/memory/EventDeleter.h>

#include <functional>

struct event_base;

namespace Greengage {

/// One-shot timer of the event loop. Scheduling it again replaces the earlier schedule. It must not be destroyed from
/// within its own callback.
class Timer {
public:
    Timer(event_base& base, std::function<void()> callback);
    ~Timer();

    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Calls back after `delay`, at most 24 hours, or in the next iteration of the event loop if `delay` is not
    /// positive.
    void schedule(Microseconds delay);
    void cancel();

private:
    void run();

    std::function<void()> callback;
    EventPointer<event> timerEvent;
};

} // namespace Greengage
