#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <gateway/endpoints/EndpointAnswer.h>

#include <map>
#include <string>

struct evhttp_request;

namespace Greengage {

/// A caller's request that has not been answered yet.
struct PendingRequest {
    evhttp_request* httpRequest = nullptr;
    QueueId queue;
    Instant arrivedAt;
    std::string body;
    /// Complete answers from endpoints, by attempt number.
    std::map<int, EndpointAnswer> answers;
};

} // namespace Greengage
