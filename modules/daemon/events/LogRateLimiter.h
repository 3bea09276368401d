#pragma once

#include <core/time/Deadline.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Greengage {

/// Keeps frequent events from filling the log: of each kind one a second is written, and it says how many were left
/// out before it.
class RepeatedEvent {
public:
    /// Whether an event of this kind is to be written now; if so, the number of those left out since the last one.
    std::optional<std::uint64_t> admit(const std::string& kind, Instant now);

private:
    struct Entry {
        Deadline quietUntil;
        std::uint64_t leftOut = 0;
    };

    std::map<std::string, Entry> entries;
};

} // namespace Greengage
