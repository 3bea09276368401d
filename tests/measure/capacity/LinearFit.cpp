#include <measure/capacity/LinearFit.h>

#include <algorithm>
#include <cmath>

namespace Greengage {

LinearFit LinearFit::through(const std::vector<double>& amounts, const std::vector<double>& costs)
{
    auto count = static_cast<double>(amounts.size());
    double sumAmount = 0;
    double sumCost = 0;
    double sumSquare = 0;
    double sumProduct = 0;
    for (std::size_t index = 0; index < amounts.size(); ++index) {
        sumAmount += amounts[index];
        sumCost += costs[index];
        sumSquare += amounts[index] * amounts[index];
        sumProduct += amounts[index] * costs[index];
    }
    LinearFit fit;
    double determinant = count * sumSquare - sumAmount * sumAmount;
    if (determinant != 0)
        fit.slope = (count * sumProduct - sumAmount * sumCost) / determinant;
    fit.intercept = (sumCost - fit.slope * sumAmount) / count;
    double largest = *std::max_element(costs.begin(), costs.end());
    for (std::size_t index = 0; index < amounts.size(); ++index) {
        double distance = std::abs(costs[index] - fit.at(amounts[index]));
        fit.spreadPercent = std::max(fit.spreadPercent, largest > 0 ? 100 * distance / largest : 0);
    }
    return fit;
}

} // namespace Greengage
