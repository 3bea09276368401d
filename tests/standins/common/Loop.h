#pragma once

#include <core/time/Instant.h>

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace Greengage {

/// The event loop of a stand-in. SIGTERM and SIGINT end it.
class Loop {
public:
    Loop();
    ~Loop();

    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    event_base& base() const { return *this->eventBase; }

    /// Runs until `stop` or a signal.
    void run();
    void stop();

    /// Runs until the condition holds or the time is up; tells whether it holds.
    bool runUntil(const std::function<bool()>& condition, Milliseconds limit);

    /// Calls the function once from the loop.
    void callLater(Microseconds delay, std::function<void()>);

    /// Stops on SIGTERM and SIGINT.
    void stopOnSignals();

private:
    event_base* eventBase;
    event* terminate = nullptr;
    event* interrupt = nullptr;
};

} // namespace Greengage
