#pragma once

#include <loop/memory/EventDeleter.h>

#include <functional>

struct event_base;

namespace Greengage {

/// Calls back from the event loop each time the process receives a signal.
class SignalWatch {
public:
    SignalWatch(event_base& base, int signal, std::function<void()> callback);
    ~SignalWatch();

    SignalWatch(const SignalWatch&) = delete;
    SignalWatch& operator=(const SignalWatch&) = delete;

private:
    void run();

    std::function<void()> callback;
    EventPointer<event> signalEvent;
};

} // namespace Greengage
