// Definitions that replace those of the libraries: the linker takes no object from them whose symbols are defined here.
#include <coordinator/tests/After.h>
#include <core/time/BootClock.h>
#include <loop/timers/Timer.h>
#include <tests/takeovers/VirtualLoop.h>

#include <unordered_map>

namespace Greengage {

namespace {

/// Counts the schedules of each timer, so that only the latest one calls back.
std::unordered_map<const Timer*, std::uint64_t>& schedules()
{
    static std::unordered_map<const Timer*, std::uint64_t> counts;
    return counts;
}

std::uint64_t lastSchedule = 0;

} // namespace

BootClock::time_point BootClock::now() { return VirtualLoop::shared().now(); }

Timer::Timer(event_base&, std::function<void()> callback)
    : callback(std::move(callback))
{
}

Timer::~Timer() { this->cancel(); }

void Timer::schedule(Microseconds delay)
{
    std::uint64_t number = ++lastSchedule;
    schedules()[this] = number;
    VirtualLoop& loop = VirtualLoop::shared();
    loop.schedule(delay, loop.running(), [this, number] {
        auto found = schedules().find(this);
        if (found == schedules().end() || found->second != number)
            return;
        schedules().erase(found);
        this->run();
    });
}

void Timer::run() { this->callback(); }

void Timer::cancel() { schedules().erase(this); }

void after(event_base&, Milliseconds delay, std::function<void()> action)
{
    VirtualLoop& loop = VirtualLoop::shared();
    loop.schedule(delay, loop.running(), std::move(action));
}

} // namespace Greengage
