#include <gateway/callers/OutcomeResponse.h>

#include <fleet/requests/messages/AnswerCaller.h>
#include <gateway/endpoints/EndpointAnswer.h>
#include <gateway/http/HeaderNames.h>

#include <json/value.h>
#include <json/writer.h>

namespace Greengage {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;
constexpr int statusConflict = 409;
constexpr int statusTooLarge = 413;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

int statusOf(OutcomeReason reason)
{
    switch (reason) {
    case OutcomeReason::DeadlineTooLong:
        return statusBadRequest;
    case OutcomeReason::KeyMissing:
    case OutcomeReason::KeyInvalid:
        return statusUnauthorized;
    case OutcomeReason::UnknownQueue:
        return statusNotFound;
    case OutcomeReason::DuplicateRequest:
        return statusConflict;
    case OutcomeReason::QueueFull:
    case OutcomeReason::LimitReached:
        return statusTooManyRequests;
    default:
        return statusUnavailable;
    }
}

int statusOf(CallerRefusal refusal)
{
    switch (refusal) {
    case CallerRefusal::Malformed:
        return statusBadRequest;
    case CallerRefusal::UnknownPath:
        return statusNotFound;
    case CallerRefusal::MethodNotAllowed:
        return statusMethodNotAllowed;
    case CallerRefusal::BodyTooLarge:
        return statusTooLarge;
    case CallerRefusal::BodiesFull:
        return statusUnavailable;
    }
    return statusBadRequest;
}

std::string toJson(
    std::string_view outcome, std::string_view reason, const std::string& detail, Milliseconds retryAfter)
{
    Json::Value root(Json::objectValue);
    root["outcome"] = std::string(outcome);
    root["reason"] = std::string(reason);
    root["detail"] = detail;
    root["retryAfterMs"] = static_cast<Json::Int64>(retryAfter.count());
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root) + "\n";
}

std::vector<HttpHeader> outcomeHeaders(std::string_view outcome, std::string_view reason, const RequestId& request)
{
    std::vector<HttpHeader> headers {
        { HeaderNames::outcome, std::string(outcome) },
        { HeaderNames::reason, std::string(reason) },
    };
    if (!request.isEmpty())
        headers.push_back({ HeaderNames::request, request.string() });
    return headers;
}

/// Retry-After is in whole seconds, so the wait is rounded up.
std::string toRetryAfterSeconds(Milliseconds wait) { return std::to_string((wait.count() + 999) / 1000); }

} // namespace

OutcomeResponse toAnsweredResponse(const AnswerCaller& answer, const EndpointAnswer& endpointAnswer)
{
    OutcomeResponse response;
    response.status = endpointAnswer.status;
    response.headers = outcomeHeaders(nameOf(answer.outcome), nameOf(answer.reason), answer.request);
    if (!endpointAnswer.contentType.empty())
        response.headers.push_back({ "Content-Type", endpointAnswer.contentType });
    response.body = endpointAnswer.body;
    return response;
}

OutcomeResponse toUnansweredResponse(const AnswerCaller& answer)
{
    OutcomeResponse response;
    response.status = answer.outcome == Outcome::Unknown ? statusGatewayTimeout : statusOf(answer.reason);
    response.headers = outcomeHeaders(nameOf(answer.outcome), nameOf(answer.reason), answer.request);
    response.headers.push_back({ "Content-Type", "application/json" });
    if (answer.retryAfter > Milliseconds::zero())
        response.headers.push_back({ "Retry-After", toRetryAfterSeconds(answer.retryAfter) });
    if (response.status == statusUnauthorized)
        response.headers.push_back({ "WWW-Authenticate", "Bearer" });
    response.body = toJson(nameOf(answer.outcome), nameOf(answer.reason), "", answer.retryAfter);
    return response;
}

OutcomeResponse toRefusalResponse(CallerRefusal refusal, const std::string& detail)
{
    OutcomeResponse response;
    response.status = statusOf(refusal);
    response.headers = outcomeHeaders(nameOf(Outcome::NotRun), nameOf(refusal), RequestId());
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = toJson(nameOf(Outcome::NotRun), nameOf(refusal), detail, Milliseconds::zero());
    return response;
}

} // namespace Greengage
