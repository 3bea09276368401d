#include <daemon/events/LogRateLimiter.h>

#include <utility>

namespace Greengage {

namespace {

constexpr Seconds minInterval { 1 };

} // namespace

std::optional<std::uint64_t> LogRateLimiter::admit(const std::string& kind, Instant now)
{
    Entry& entry = this->entries[kind];
    if (!entry.suppressUntil.hasPassed(now)) {
        entry.suppressed += 1;
        return std::nullopt;
    }
    entry.suppressUntil = Deadline::after(now, minInterval);
    return std::exchange(entry.suppressed, 0);
}

} // namespace Greengage
