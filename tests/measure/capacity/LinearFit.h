#pragma once

#include <vector>

namespace Greengage {

/// A least-squares line through measured points.
struct LinearFit {
    double slope = 0;
    double intercept = 0;
    /// Largest distance of a point from the line, in percent of the largest cost.
    double spreadPercent = 0;

    static LinearFit through(const std::vector<double>& amounts, const std::vector<double>& costs);
    double at(double amount) const { return this->intercept + this->slope * amount; }
};

} // namespace Greengage
