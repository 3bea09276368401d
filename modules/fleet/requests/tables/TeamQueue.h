#pragma once

#include <core/text/Identifier.h>

#include <deque>

namespace Greengage {

/// The requests of one team in one queue of this daemon, in order of arrival.
struct TeamQueue {
    /// Requests to be started. Ids of requests that no longer wait are skipped when they reach the front.
    std::deque<RequestId> order;
    /// Number of waiting requests.
    int waiting = 0;
    /// Number of requests that hold a unit of the team's limit: being claimed, in progress, or sent with an end that is
    /// not known yet.
    int running = 0;
};

} // namespace Greengage
