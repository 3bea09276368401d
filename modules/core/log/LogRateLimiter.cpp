#include <core/log/LogRateLimiter.h>

#include <utility>

namespace Greengage {

std::optional<std::uint64_t> LogRateLimiter::admit(const std::string& kind, Instant now)
{
    Entry& entry = this->entries[kind];
    if (entry.secondEnd.hasPassed(now)) {
        entry.secondEnd = Deadline::after(now, Seconds(1));
        entry.logged = 0;
    }
    if (entry.logged == this->eventsPerSecond) {
        entry.suppressed += 1;
        return std::nullopt;
    }
    entry.logged += 1;
    return std::exchange(entry.suppressed, 0);
}

} // namespace Greengage
