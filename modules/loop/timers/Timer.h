#pragma once

#include <core/time/Instant.h>
#include <loop/memory/EventDeleter.h>

#include <functional>

struct event_base;

namespace Greengage {

/// Calls back once from the loop, some time after it is scheduled. Scheduling it again replaces the earlier schedule.
/// It must not be destroyed from within its own callback.
class Timer {
public:
    Timer(event_base& base, std::function<void()> callback);
    ~Timer();

    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Calls back after `delay`, or from the next turn of the loop if it is not above zero.
    void schedule(Microseconds delay);
    void cancel();

private:
    std::function<void()> callback;
    EventPointer<event> timeout;
};

} // namespace Greengage
