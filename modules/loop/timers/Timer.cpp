#include <loop/timers/Timer.h>

#include <algorithm>
#include <event2/event.h>

namespace Greengage {

Timer::Timer(event_base& base, std::function<void()> callback)
    : callback(std::move(callback))
    , timeout(event_new(
          &base, -1, 0, [](evutil_socket_t, short, void* timer) { static_cast<Timer*>(timer)->callback(); }, this))
{
}

Timer::~Timer() = default;

void Timer::schedule(Microseconds delay)
{
    constexpr Microseconds longest = Seconds(24 * 3600);
    Microseconds bounded = std::clamp(delay, Microseconds::zero(), longest);
    timeval interval {};
    interval.tv_sec = bounded / Seconds(1);
    interval.tv_usec = (bounded % Seconds(1)).count();
    event_add(this->timeout.get(), &interval);
}

void Timer::cancel() { event_del(this->timeout.get()); }

} // namespace Greengage
