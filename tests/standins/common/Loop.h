#pragma once

#include <core/time/Instant.h>

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace Greengage {

/// The event loop of a stand-in.
class Loop {
public:
    Loop();
    ~Loop();

    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    event_base& base() const { return *this->eventBase; }

    /// Runs until `stop` is called or a signal of `stopOnSignals` arrives.
    void run();
    void stop();

    /// Runs until the condition holds or the limit has passed; returns whether it holds.
    bool runUntil(const std::function<bool()>& condition, Milliseconds limit);

    /// Calls the function once from the loop after the delay.
    void callLater(Microseconds delay, std::function<void()>);

    /// Makes SIGTERM and SIGINT stop the loop.
    void stopOnSignals();

private:
    event_base* eventBase;
    event* terminate = nullptr;
    event* interrupt = nullptr;
};

} // namespace Greengage
