#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// Key for the requests of one team in one queue.
struct TeamQueueKey {
    QueueId queue;
    TeamId team;

    friend auto operator<=>(const TeamQueueKey&, const TeamQueueKey&) = default;
};

} // namespace Greengage
