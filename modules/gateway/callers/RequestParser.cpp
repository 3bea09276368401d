#include <gateway/callers/RequestParser.h>

#include <gateway/http/HeaderNames.h>
#include <loop/http/HttpBuffers.h>

#include <charconv>
#include <string_view>

namespace Greengage {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::size_t maxIdempotencyKeyBytes = 256;
constexpr std::int64_t maxTimeoutMilliseconds = 24LL * 3600 * 1000;

Result<Deadline, GatewayError> parseDeadline(const evkeyvalq& headers, Instant now)
{
    if (!hasHeader(headers, HeaderNames::timeout))
        return Deadline::never();
    std::string text = headerValue(headers, HeaderNames::timeout);
    std::int64_t milliseconds = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size() || milliseconds < 1
        || milliseconds > maxTimeoutMilliseconds)
        return failure(GatewayError { "Greengage-Timeout-Ms must be a whole number from 1 to 86400000" });
    return Deadline::after(now, Milliseconds(milliseconds));
}

Result<std::string, GatewayError> parseBearer(const evkeyvalq& headers)
{
    std::string text = headerValue(headers, "Authorization");
    if (text.empty())
        return std::string();
    if (text.compare(0, bearerPrefix.size(), bearerPrefix) != 0)
        return failure(GatewayError { "Authorization must be: Bearer <key name>.<secret>" });
    return text.substr(bearerPrefix.size());
}

} // namespace

Result<RequestArrived, GatewayError> parseRequestHeaders(const evkeyvalq& headers, Instant now)
{
    RequestArrived arrived;
    BOOST_OUTCOME_TRY(deadline, parseDeadline(headers, now));
    BOOST_OUTCOME_TRY(bearer, parseBearer(headers));
    arrived.deadline = deadline;
    arrived.bearer = bearer;
    arrived.idempotencyKey = headerValue(headers, HeaderNames::idempotencyKey);
    if (arrived.idempotencyKey.size() > maxIdempotencyKeyBytes)
        return failure(GatewayError { "Idempotency-Key must be at most 256 bytes" });
    return arrived;
}

} // namespace Greengage
