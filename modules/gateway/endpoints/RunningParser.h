#pragma once

#include <core/errors/Result.h>
#include <fleet/requests/messages/RunningReported.h>
#include <gateway/http/GatewayError.h>

#include <string>
#include <vector>

namespace Greengage {

/// Parses the body of an endpoint's response to GET /running. The error states what was wrong.
Result<std::vector<RunningWork>, GatewayError> parseRunning(const std::string& body);

} // namespace Greengage
