#include <fleet/requests/tables/QuantileEstimate.h>

#include <algorithm>

namespace Greengage {

namespace {

/// The steps up and down together are one part in this many of the estimate.
constexpr int stepDivisor = 8;

} // namespace

QuantileEstimate::QuantileEstimate(int percent)
    : percent(percent)
{
}

void QuantileEstimate::add(Microseconds sample)
{
    if (this->estimate == Microseconds::zero()) {
        this->estimate = std::max(sample, Microseconds(1));
        return;
    }
    auto step = this->estimate / stepDivisor;
    if (sample > this->estimate)
        this->estimate += step * this->percent / 100 + Microseconds(1);
    else if (sample < this->estimate)
        this->estimate = std::max(this->estimate - step * (100 - this->percent) / 100, Microseconds(1));
}

} // namespace Greengage
