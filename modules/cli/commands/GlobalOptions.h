#pragma once

#include <core/time/Instant.h>

#include <string>
#include <vector>

namespace Greengage {

/// Options common to all commands.
struct GlobalOptions {
    /// Admin addresses of the daemons as "address:port", in the order in which they are tried.
    std::vector<std::string> daemons;
    std::string keyFile;
    bool json = false;
    int timeoutSeconds = 30;
};

} // namespace Greengage
