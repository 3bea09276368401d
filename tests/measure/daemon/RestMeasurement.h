#pragma once

#include <core/time/Instant.h>
#include <measure/daemon/RestCost.h>
#include <measure/daemon/RestSize.h>

namespace Greengage {

/// Starts a site of the size, lets it rest for the window, and reads what its daemons have used meanwhile.
RestCost measureAtRest(const RestSize&, Seconds window);

} // namespace Greengage
