#pragma once

#include <string>

namespace Greengage {

/// Where a daemon of a test site runs.
struct DaemonPlace {
    std::string name;
    std::string address;
    int zone = 1;
};

} // namespace Greengage
