#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <jobs/model/TaskName.h>
#include <jobs/tables/LeaseExpiry.h>

#include <cstdint>
#include <map>
#include <utility>

namespace Greengage {

/// Orders of earlier leaders that may still have an effect, as the last one told when it handed over. Waits that rest
/// on them go on where that leader was, and do not begin anew with each leader.
struct OpenOrders {
    /// When the start order of an attempt was sent, at the latest, by task and attempt number.
    std::map<std::pair<TaskName, std::uint32_t>, Instant> starts;
    /// The leases of workers that did not answer the last leader.
    std::map<WorkerId, LeaseExpiry> leases;
};

} // namespace Greengage
