#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

#include <cstddef>
#include <string>

namespace Greengage {

/// A caller has sent a whole request. The gateway keeps its body; the request plane decides by what stands here.
struct RequestArrived {
    RequestId request;
    QueueId queue;
    /// What the caller showed as its key, "<name>.<secret>"; empty if none.
    std::string bearer;
    /// Chosen by the caller to mark retries of one request; empty if none.
    std::string idempotencyKey;
    /// When the caller stops waiting.
    Deadline deadline;
    std::size_t bodyBytes = 0;
};

} // namespace Greengage
