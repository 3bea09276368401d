#pragma once

#include <string>

namespace Greengage {

/// What one part of a daemon costs at one size.
struct Reading {
    std::string part;
    std::string unit;
    /// What the cost is expected to grow with, and how much of it there is at this size.
    std::string driver;
    double driverAmount = 0;
    double cost = 0;
};

} // namespace Greengage
