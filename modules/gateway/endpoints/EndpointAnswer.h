#pragma once

#include <string>

namespace Greengage {

/// An endpoint's complete answer to one attempt.
struct EndpointAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

} // namespace Greengage
