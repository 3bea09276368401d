#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Which waiting request of a service is started next.
enum class ServingOrder {
    /// The most urgent first; within a priority the team that runs least in the fleet for its share.
    FairShares,
    /// In order of arrival, as a baseline to compare with.
    FirstCome,
};

template <> struct EnumNames<ServingOrder> {
    static constexpr std::array<std::pair<ServingOrder, std::string_view>, 2> table { {
        { ServingOrder::FairShares, "fair_shares" },
        { ServingOrder::FirstCome, "first_come" },
    } };
};

} // namespace Greengage
