#pragma once

#include <core/time/Instant.h>

#include <string>
#include <vector>

namespace Greengage {

/// Options that every command takes.
struct GlobalOptions {
    /// Admin ports of daemons, "address:port", in the order in which they are tried.
    std::vector<std::string> daemons;
    std::string keyFile;
    bool json = false;
    int timeoutSeconds = 30;
};

} // namespace Greengage
