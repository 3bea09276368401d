#pragma once

#include <core/text/Identifier.h>
#include <gateway/callers/CallerRefusal.h>
#include <store/http/HttpHeader.h>

#include <string>
#include <vector>

namespace Greengage {

struct AnswerCaller;
struct EndpointAnswer;

/// An HTTP response to a caller.
struct OutcomeResponse {
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
};

/// Converts an endpoint's answer to the response for the caller.
OutcomeResponse toAnsweredResponse(const AnswerCaller&, const EndpointAnswer&);

/// The response for a request that was not run or whose outcome is unknown.
OutcomeResponse toUnansweredResponse(const AnswerCaller&);

/// The response for a request that the gateway refused. `detail` states what was wrong with the request.
OutcomeResponse toRefusalResponse(CallerRefusal, const std::string& detail);

} // namespace Greengage
