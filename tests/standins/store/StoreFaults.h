#pragma once

#include <core/text/EnumNames.h>
#include <core/time/Instant.h>

#include <string>
#include <vector>

namespace Greengage {

/// How the whole store is unavailable.
enum class StoreOutage {
    None,
    /// Calls are accepted but have no effect and are never answered.
    Unresponsive,
    /// Connections are refused.
    Refuse,
};

template <> struct EnumNames<StoreOutage> {
    static constexpr std::array<std::pair<StoreOutage, std::string_view>, 3> table { {
        { StoreOutage::None, "none" },
        { StoreOutage::Unresponsive, "silent" },
        { StoreOutage::Refuse, "refuse" },
    } };
};

/// The failures that the store stand-in simulates at present.
struct StoreFaults {
    StoreOutage outage = StoreOutage::None;
    /// Delay between a call's effect and its answer.
    Milliseconds delay {};
    /// How many of the next writes and erasures take effect but get no answer.
    int writeAnswersToLose = 0;
    /// Calls from addresses with one of these prefixes have no effect and get no answer.
    std::vector<std::string> blockedPrefixes;

    bool blocks(const std::string& address) const
    {
        for (const auto& prefix : this->blockedPrefixes) {
            if (address.starts_with(prefix))
                return true;
        }
        return false;
    }
};

} // namespace Greengage
