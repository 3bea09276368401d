#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

namespace Greengage {

/// A worker that fails what it starts gets nothing until it is probed.
struct WorkerSetAside {
    WorkerId worker;
    Deadline probedAt;
};

} // namespace Greengage
