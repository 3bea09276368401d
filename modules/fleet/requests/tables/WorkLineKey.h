#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// Names the work of one team on one queue.
struct WorkLineKey {
    QueueId queue;
    TeamId team;

    friend auto operator<=>(const WorkLineKey&, const WorkLineKey&) = default;
};

} // namespace Greengage
