#include <standins/common/Loop.h>

#include <core/checks/Assertion.h>
#include <core/time/Deadline.h>

#include <csignal>
#include <event2/event.h>
#include <sys/time.h>

namespace Greengage {

namespace {

constexpr Milliseconds conditionInterval { 2 };

timeval toTimeval(Microseconds span)
{
    auto seconds = std::chrono::duration_cast<Seconds>(span);
    return { seconds.count(), (span - seconds).count() };
}

void runFunction(int, short, void* context)
{
    std::unique_ptr<std::function<void()>> function(static_cast<std::function<void()>*>(context));
    (*function)();
}

void stopBase(int, short, void* context) { event_base_loopbreak(static_cast<event_base*>(context)); }

} // namespace

Loop::Loop()
    : eventBase(event_base_new())
{
    assertInvariant(this->eventBase, "event_base_new returns an event loop");
    std::signal(SIGPIPE, SIG_IGN);
}

Loop::~Loop()
{
    if (this->terminate)
        event_free(this->terminate);
    if (this->interrupt)
        event_free(this->interrupt);
    event_base_free(this->eventBase);
}

void Loop::run() { event_base_loop(this->eventBase, EVLOOP_NO_EXIT_ON_EMPTY); }

void Loop::stop() { event_base_loopbreak(this->eventBase); }

bool Loop::runUntil(const std::function<bool()>& condition, Milliseconds limit)
{
    auto deadline = Deadline::after(BootClock::now(), limit);
    while (!condition()) {
        if (deadline.hasPassed(BootClock::now()))
            return false;
        auto pause = toTimeval(conditionInterval);
        event_base_loopexit(this->eventBase, &pause);
        event_base_loop(this->eventBase, EVLOOP_ONCE);
    }
    return true;
}

void Loop::callLater(Microseconds delay, std::function<void()> function)
{
    auto pause = toTimeval(delay);
    auto* context = new std::function<void()>(std::move(function));
    event_base_once(this->eventBase, -1, EV_TIMEOUT, runFunction, context, &pause);
}

void Loop::stopOnSignals()
{
    this->terminate = evsignal_new(this->eventBase, SIGTERM, stopBase, this->eventBase);
    this->interrupt = evsignal_new(this->eventBase, SIGINT, stopBase, this->eventBase);
    event_add(this->terminate, nullptr);
    event_add(this->interrupt, nullptr);
}

} // namespace Greengage
