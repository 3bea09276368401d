#pragma once

#include <array>
#include <cstddef>

namespace Greengage {

/// The most recent ratios of actual to declared size, and a quantile of them.
class SizeHistory {
public:
    void add(double ratio, double quantile);
    /// The quantile, or 1 before the first ratio is added.
    double factor() const { return this->cachedFactor; }

private:
    static constexpr std::size_t capacity = 64;

    std::array<double, capacity> ratios {};
    std::size_t count = 0;
    double cachedFactor = 1.0;
};

} // namespace Greengage
