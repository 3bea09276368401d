#pragma once

#include <core/time/Instant.h>
#include <measure/daemon/IdleCost.h>
#include <measure/daemon/IdleSize.h>

namespace Greengage {

/// Starts a site of the given size and measures the cost of its daemons over a window without requests.
IdleCost measureIdleSite(const IdleSize&, Seconds window);

} // namespace Greengage
