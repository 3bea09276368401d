#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

namespace Greengage {

/// A worker whose attempts keep failing was quarantined: it receives no work until it is probed.
struct WorkerQuarantined {
    WorkerId worker;
    Deadline probeAt;
};

} // namespace Greengage
