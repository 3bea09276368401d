#include <fleet/requests/tables/RunTimeEstimate.h>

namespace Greengage {

void RunTimeEstimate::add(Microseconds runTime)
{
    this->middle.add(runTime);
    this->high.add(runTime);
}

void RunTimeEstimate::addUnanswered(Microseconds elapsed)
{
    auto longer = elapsed + Microseconds(1);
    if (elapsed >= this->middle.value())
        this->middle.add(longer);
    if (elapsed >= this->high.value())
        this->high.add(longer);
}

Microseconds RunTimeEstimate::timeToLeave(Microseconds whole) const
{
    if (this->high.value() <= whole)
        return this->high.value();
    if (this->middle.value() <= whole)
        return this->middle.value();
    return Microseconds::zero();
}

} // namespace Greengage
