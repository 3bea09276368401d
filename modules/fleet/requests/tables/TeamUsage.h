#pragma once

namespace Greengage {

/// How much work of one team this daemon has, over all queues.
struct TeamUsage {
    /// Units of the team's limit in use, as in `WorkLine::running`.
    int running = 0;
    int waiting = 0;
};

} // namespace Greengage
