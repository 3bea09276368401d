#include <fleet/requests/tables/RunTimeEstimate.h>

namespace Greengage {

void RunTimeEstimate::add(Microseconds runTime)
{
    this->medianEstimate.add(runTime);
    this->percentile95Estimate.add(runTime);
}

void RunTimeEstimate::addUnanswered(Microseconds elapsed)
{
    auto lowerBound = elapsed + Microseconds(1);
    if (elapsed >= this->medianEstimate.value())
        this->medianEstimate.add(lowerBound);
    if (elapsed >= this->percentile95Estimate.value())
        this->percentile95Estimate.add(lowerBound);
}

Microseconds RunTimeEstimate::requiredTime(Microseconds total) const
{
    if (this->percentile95Estimate.value() <= total)
        return this->percentile95Estimate.value();
    if (this->medianEstimate.value() <= total)
        return this->medianEstimate.value();
    return Microseconds::zero();
}

} // namespace Greengage
