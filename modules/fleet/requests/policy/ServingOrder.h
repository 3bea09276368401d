#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Which waiting request of a service is started next.
enum class ServingOrder {
    /// Most urgent priority first; within a priority, the team with the fewest running requests in the fleet relative
    /// to its share.
    FairShares,
    /// In order of arrival, as a baseline for comparison.
    FirstCome,
};

template <> struct EnumNames<ServingOrder> {
    static constexpr std::array<std::pair<ServingOrder, std::string_view>, 2> table { {
        { ServingOrder::FairShares, "fair_shares" },
        { ServingOrder::FirstCome, "first_come" },
    } };
};

} // namespace Greengage
