#pragma once

namespace Greengage {

/// Number of requests of one team at this daemon, over all queues.
struct TeamUsage {
    /// Units of the team's limit in use, as in `TeamQueue::running`.
    int running = 0;
    int waiting = 0;
};

} // namespace Greengage
