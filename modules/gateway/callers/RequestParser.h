#pragma once

#include <core/errors/Result.h>
#include <core/time/Instant.h>
#include <fleet/requests/messages/RequestArrived.h>
#include <gateway/http/GatewayError.h>

#include <string>

struct evkeyvalq;

namespace Greengage {

/// Parses the headers of a caller's request. The request's id, queue and body size are left for the caller of this
/// function to fill in. The error names the header at fault and the expected form.
Result<RequestArrived, GatewayError> parseRequestHeaders(const evkeyvalq& headers, Instant now);

} // namespace Greengage
