#pragma once

#include <vector>

namespace Greengage {

/// Divides `total` whole units in proportion to the weights by the largest remainder method; equal remainders go to the
/// earlier entries. The parts sum to `total`, unless all weights are zero, in which case all parts are zero. Daemons
/// that use the same weights in the same order compute the same parts.
std::vector<int> divideByWeight(int total, const std::vector<double>& weights);

} // namespace Greengage
