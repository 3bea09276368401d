#include <daemon/events/RepeatedEvent.h>

#include <utility>

namespace Greengage {

namespace {

constexpr Seconds quietPeriod { 1 };

} // namespace

std::optional<std::uint64_t> RepeatedEvent::admit(const std::string& kind, Instant now)
{
    Entry& entry = this->entries[kind];
    if (!entry.quietUntil.hasPassed(now)) {
        entry.leftOut += 1;
        return std::nullopt;
    }
    entry.quietUntil = Deadline::after(now, quietPeriod);
    return std::exchange(entry.leftOut, 0);
}

} // namespace Greengage
