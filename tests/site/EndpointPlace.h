#pragma once

#include <string>

namespace Greengage {

/// Where an endpoint of a test site runs.
struct EndpointPlace {
    std::string vm;
    std::string service;
    std::string address;
    std::string rack;
    int zone = 1;
};

} // namespace Greengage
