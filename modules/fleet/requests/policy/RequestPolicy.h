#pragma once

#include <fleet/requests/policy/LimitSplit.h>
#include <fleet/requests/policy/ServingOrder.h>
#include <fleet/requests/policy/SlotUse.h>

namespace Greengage {

/// Alternative policies of the request plane, for comparison in measurements. Production uses the defaults.
struct RequestPolicy {
    ServingOrder order = ServingOrder::FairShares;
    SlotUse slots = SlotUse::Divided;
    LimitSplit limits = LimitSplit::Escrow;
};

} // namespace Greengage
