#include <loop/timers/Timer.h>

#include <core/errors/ErrorBoundary.h>

#include <algorithm>
#include <event2/event.h>

namespace Greengage {

Timer::Timer(event_base& base, std::function<void()> callback)
    : callback(std::move(callback))
    , timerEvent(event_new(
          &base, -1, 0, [](evutil_socket_t, short, void* timer) { static_cast<Timer*>(timer)->run(); }, this))
{
}

Timer::~Timer() = default;

void Timer::schedule(Microseconds delay)
{
    constexpr Microseconds maxDelay = Seconds(24 * 3600);
    Microseconds boundedDelay = std::clamp(delay, Microseconds::zero(), maxDelay);
    timeval interval {};
    interval.tv_sec = boundedDelay / Seconds(1);
    interval.tv_usec = (boundedDelay % Seconds(1)).count();
    event_add(this->timerEvent.get(), &interval);
}

void Timer::run() { ErrorBoundary::run(ErrorEffect::StateInDoubt, WorkKind::Timer, {}, this->callback); }

void Timer::cancel() { event_del(this->timerEvent.get()); }

} // namespace Greengage
