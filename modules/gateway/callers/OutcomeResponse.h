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

/// Passes an endpoint's answer on.
OutcomeResponse toAnsweredResponse(const AnswerCaller&, const EndpointAnswer&);

/// Tells the caller that its request was not run, or that its outcome is unknown.
OutcomeResponse toUnansweredResponse(const AnswerCaller&);

/// Refuses a request that the gateway did not pass on. `detail` says what was wrong with it.
OutcomeResponse toRefusalResponse(CallerRefusal, const std::string& detail);

} // namespace Greengage
