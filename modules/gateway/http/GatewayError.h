#pragma once

#include <string>

namespace Greengage {

/// A failed operation of the gateway, or input that it could not parse.
struct GatewayError {
    std::string detail;
};

} // namespace Greengage
