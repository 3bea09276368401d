#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// Number of requests of one team or one service at a live daemon.
struct DaemonDemand {
    IncarnationId incarnation;
    int running = 0;
    int waiting = 0;
};

} // namespace Greengage
