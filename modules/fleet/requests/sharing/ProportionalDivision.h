#pragma once

#include <vector>

namespace Greengage {

/// Splits `total` whole units by weight with the method of largest remainders; equal remainders go to the earlier
/// entries. The parts sum to `total` unless every weight is zero, in which case all parts are zero. Whoever knows the
/// same weights in the same order computes the same parts.
std::vector<int> divideByWeight(int total, const std::vector<double>& weights);

} // namespace Greengage
