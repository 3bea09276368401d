#include <fleet/requests/tables/RunTimeEstimate.h>

#include <algorithm>

namespace Greengage {

namespace {

/// Each answer moves the estimate by one part in this many.
constexpr int stepDivisor = 16;

} // namespace

void RunTimeEstimate::add(Microseconds runTime)
{
    if (this->estimate == Microseconds::zero()) {
        this->estimate = std::max(runTime, Microseconds(1));
        return;
    }
    auto step = std::max(this->estimate / stepDivisor, Microseconds(1));
    if (runTime > this->estimate)
        this->estimate += step;
    if (runTime < this->estimate)
        this->estimate = std::max(this->estimate - step, Microseconds(1));
}

void RunTimeEstimate::addUnanswered(Microseconds elapsed)
{
    if (elapsed >= this->estimate)
        this->add(elapsed + Microseconds(1));
}

} // namespace Greengage
