#pragma once

#include <string>

namespace Greengage {

/// What the gateway could not do or did not understand.
struct GatewayError {
    std::string detail;
};

} // namespace Greengage
