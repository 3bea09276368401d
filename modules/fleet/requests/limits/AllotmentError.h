#pragma once

#include <string>

namespace Greengage {

/// Why the stored allotments could not be parsed.
struct AllotmentError {
    std::string detail;
};

} // namespace Greengage
