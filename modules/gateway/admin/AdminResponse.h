#pragma once

#include <string>

namespace Greengage {

/// The HTTP response to an operator's request.
struct AdminResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

} // namespace Greengage
