#pragma once

#include <core/errors/Result.h>
#include <core/time/Instant.h>
#include <fleet/requests/messages/RequestArrived.h>
#include <gateway/http/GatewayError.h>

#include <string>

struct evkeyvalq;

namespace Greengage {

/// Reads what the request plane needs from a caller's headers; the request's id and queue are left to the caller of
/// this function. The error names the header and what would be right.
Result<RequestArrived, GatewayError> parseRequestHeaders(const evkeyvalq& headers, Instant now);

} // namespace Greengage
