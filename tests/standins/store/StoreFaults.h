#pragma once

#include <core/text/EnumNames.h>
#include <core/time/Instant.h>

#include <string>
#include <vector>

namespace Greengage {

/// How the whole store is out.
enum class StoreOutage {
    None,
    /// Calls are accepted, have no effect and are never answered.
    Silent,
    /// Connections are refused.
    Refuse,
};

template <> struct EnumNames<StoreOutage> {
    static constexpr std::array<std::pair<StoreOutage, std::string_view>, 3> table { {
        { StoreOutage::None, "none" },
        { StoreOutage::Silent, "silent" },
        { StoreOutage::Refuse, "refuse" },
    } };
};

/// The failures that the store stand-in shows at present.
struct StoreFaults {
    StoreOutage outage = StoreOutage::None;
    /// Time between a call's effect and its answer.
    Milliseconds delay {};
    /// How many of the next writes and erasures take effect and lose their answers.
    int writeAnswersToLose = 0;
    /// Callers whose address starts with one of these get no effect and no answer.
    std::vector<std::string> cutPrefixes;

    bool cuts(const std::string& address) const
    {
        for (const auto& prefix : this->cutPrefixes) {
            if (address.starts_with(prefix))
                return true;
        }
        return false;
    }
};

} // namespace Greengage
