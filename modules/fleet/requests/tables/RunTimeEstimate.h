#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/tables/QuantileEstimate.h>

namespace Greengage {

/// Estimates how long answers of one queue take, measured from the sending of a request.
class RunTimeEstimate {
public:
    void add(Microseconds);
    /// Records an attempt that was not answered within the given time.
    void addUnanswered(Microseconds);

    /// Zero until the first answer.
    Microseconds median() const { return this->medianEstimate.value(); }
    /// Minimum of remaining time at which sending a request is worthwhile, if it had `total` on arrival: enough for
    /// most answers, or for half of them if most take longer than `total`. Zero if even half of them take longer.
    Microseconds requiredTime(Microseconds total) const;

private:
    QuantileEstimate medianEstimate { 50 };
    QuantileEstimate percentile95Estimate { 95 };
};

} // namespace Greengage
