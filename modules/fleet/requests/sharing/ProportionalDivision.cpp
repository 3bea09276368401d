#include <fleet/requests/sharing/ProportionalDivision.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Greengage {

std::vector<int> divideByWeight(int total, const std::vector<double>& weights)
{
    std::vector<int> parts(weights.size(), 0);
    double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (sum <= 0 || total <= 0)
        return parts;
    std::vector<double> remainders(weights.size(), 0);
    int left = total;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        double exact = total * weights[index] / sum;
        parts[index] = std::min(left, static_cast<int>(std::floor(exact)));
        remainders[index] = exact - parts[index];
        left -= parts[index];
    }
    std::vector<std::size_t> order(weights.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
        [&](std::size_t first, std::size_t second) { return remainders[first] > remainders[second]; });
    for (std::size_t rank = 0; left > 0; ++rank, --left)
        parts[order[rank % order.size()]] += 1;
    return parts;
}

} // namespace Greengage
