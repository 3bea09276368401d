#pragma once

#include <string>

namespace Greengage {

/// Why an HTTP exchange ended without a complete response.
struct HttpFailure {
    /// False only if no byte of the request was written to the socket.
    bool mayHaveBeenSent = false;
    std::string detail;
};

} // namespace Greengage
