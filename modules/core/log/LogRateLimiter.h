#pragma once

#include <core/time/Deadline.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Greengage {

/// Limits frequent log events to some a second of each kind. Each event that is logged carries the number of events
/// suppressed before it.
class LogRateLimiter {
public:
    explicit LogRateLimiter(std::uint32_t eventsPerSecond = 1)
        : eventsPerSecond(eventsPerSecond)
    {
    }

    /// Whether to log an event of this kind now: if so, the number of events suppressed since the last one; otherwise
    /// nothing.
    std::optional<std::uint64_t> admit(const std::string& kind, Instant now);

private:
    struct Entry {
        Deadline secondEnd;
        std::uint32_t logged = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint32_t eventsPerSecond;
    std::map<std::string, Entry> entries;
};

} // namespace Greengage
