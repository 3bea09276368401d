#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <gateway/endpoints/EndpointAnswer.h>

#include <map>
#include <string>

struct evhttp_request;

namespace Greengage {

/// A caller's request that has not been answered yet.
struct PendingCall {
    evhttp_request* handle = nullptr;
    QueueId queue;
    Instant arrivedAt;
    std::string body;
    /// Whole answers of endpoints, by the number of the attempt.
    std::map<int, EndpointAnswer> answers;
};

} // namespace Greengage
