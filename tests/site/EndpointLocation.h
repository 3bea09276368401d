#pragma once

#include <string>

namespace Greengage {

/// VM, service, address, rack and availability zone of an endpoint of a test site.
struct EndpointLocation {
    std::string vm;
    std::string service;
    std::string address;
    std::string rack;
    int zone = 1;
};

} // namespace Greengage
