#include <fleet/requests/tables/QuantileEstimate.h>

#include <algorithm>

namespace Greengage {

namespace {

/// The step up and the step down add up to the estimate divided by this.
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
