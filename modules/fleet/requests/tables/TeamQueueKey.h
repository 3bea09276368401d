#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// Names the work of one team on one queue.
struct TeamQueueKey {
    QueueId queue;
    TeamId team;

    friend auto operator<=>(const TeamQueueKey&, const TeamQueueKey&) = default;
};

} // namespace Greengage
