#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

#include <cstddef>
#include <string>

namespace Greengage {

/// A complete request of a caller arrived. The gateway keeps its body; the request plane decides by these fields.
struct RequestArrived {
    RequestId request;
    QueueId queue;
    /// Access key given by the caller, "<name>.<secret>"; empty if none.
    std::string bearer;
    /// Chosen by the caller to identify retries of one request; empty if none.
    std::string idempotencyKey;
    /// When the caller stops waiting for the answer.
    Deadline deadline;
    std::size_t bodyBytes = 0;
};

} // namespace Greengage
