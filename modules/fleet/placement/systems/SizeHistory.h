#pragma once

#include <array>
#include <cstddef>

namespace Greengage {

/// The newest ratios of an actual size to the declared one, and a quantile of them.
class SizeHistory {
public:
    void add(double ratio, double quantile);
    /// The quantile, or 1 before anything has been added.
    double factor() const { return this->cachedFactor; }

private:
    static constexpr std::size_t capacity = 64;

    std::array<double, capacity> ratios {};
    std::size_t count = 0;
    double cachedFactor = 1.0;
};

} // namespace Greengage
