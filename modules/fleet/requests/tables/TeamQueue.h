#pragma once

#include <core/text/Identifier.h>

#include <deque>

namespace Greengage {

/// The work of one team on one queue in this daemon, in order of arrival.
struct TeamQueue {
    /// Requests to be started. Ids of requests that no longer wait are passed over when they reach the front.
    std::deque<RequestId> order;
    /// How many requests wait.
    int waiting = 0;
    /// How many hold a unit of the team's limit: claiming, under way, or sent with an end that is not known yet.
    int running = 0;
};

} // namespace Greengage
