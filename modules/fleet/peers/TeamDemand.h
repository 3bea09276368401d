#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// Number of requests of one team in one queue of a daemon.
struct TeamDemand {
    QueueId queue;
    TeamId team;
    int running = 0;
    int waiting = 0;
};

} // namespace Greengage
