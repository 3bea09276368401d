#pragma once

#include <string>

namespace Greengage {

/// The cost of one part of a daemon at one fleet size.
struct Reading {
    std::string part;
    std::string unit;
    /// The quantity that the cost is expected to grow with, and its amount at this size.
    std::string driver;
    double driverAmount = 0;
    double cost = 0;
};

} // namespace Greengage
