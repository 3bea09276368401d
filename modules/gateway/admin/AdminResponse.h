#pragma once

#include <string>

namespace Greengage {

/// What an operator's request is answered with.
struct AdminResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

} // namespace Greengage
