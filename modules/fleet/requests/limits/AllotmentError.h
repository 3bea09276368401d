#pragma once

#include <string>

namespace Greengage {

/// Why the value of all allotments could not be read.
struct AllotmentError {
    std::string detail;
};

} // namespace Greengage
