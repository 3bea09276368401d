#pragma once

#include <string>

namespace Greengage {

/// Why an HTTP exchange brought no whole response.
struct HttpFailure {
    /// False only if no byte of the request has left this process.
    bool mayHaveBeenSent = false;
    std::string detail;
};

} // namespace Greengage
