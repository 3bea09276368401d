#pragma once

#include <string>

namespace Greengage {

/// Describes why burn rows could not be decoded from JSON.
struct BurnCodecError {
    std::string detail;
};

} // namespace Greengage
