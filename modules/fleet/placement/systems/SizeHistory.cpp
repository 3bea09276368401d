#include <fleet/placement/systems/SizeHistory.h>

#include <algorithm>
#include <cmath>

namespace Greengage {

namespace {

/// Until this many sizes have been observed, the declared size is a lower bound.
constexpr std::size_t minObservedSizes = 4;

} // namespace

void SizeHistory::add(double ratio, double quantile)
{
    this->ratios[this->count % capacity] = ratio;
    this->count++;
    auto known = std::min(this->count, capacity);
    auto sorted = this->ratios;
    auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(known)));
    auto chosen = sorted.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, known) - 1);
    std::nth_element(sorted.begin(), chosen, sorted.begin() + static_cast<std::ptrdiff_t>(known));
    this->cachedFactor = this->count < minObservedSizes ? std::max(1.0, *chosen) : *chosen;
}

} // namespace Greengage
