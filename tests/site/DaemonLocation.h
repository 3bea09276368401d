#pragma once

#include <string>

namespace Greengage {

/// Name, address and availability zone of a daemon of a test site.
struct DaemonLocation {
    std::string name;
    std::string address;
    int zone = 1;
};

} // namespace Greengage
