#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// How much work a daemon has of one team on one queue.
struct TeamDemand {
    QueueId queue;
    TeamId team;
    int running = 0;
    int waiting = 0;
};

} // namespace Greengage
