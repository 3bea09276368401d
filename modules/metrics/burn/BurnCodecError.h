#pragma once

#include <string>

namespace Greengage {

/// Why rows of burn could not be read from JSON.
struct BurnCodecError {
    std::string detail;
};

} // namespace Greengage
