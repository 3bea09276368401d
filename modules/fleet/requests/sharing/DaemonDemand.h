#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// How much work of one team or one service a live daemon has.
struct DaemonDemand {
    IncarnationId incarnation;
    int running = 0;
    int waiting = 0;
};

} // namespace Greengage
