#pragma once

#include <string>

namespace Greengage {

/// The whole answer of an endpoint to one attempt.
struct EndpointAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

} // namespace Greengage
