#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/tables/QuantileEstimate.h>

namespace Greengage {

/// What is known of the time that answers of one queue take, from the sending of a request.
class RunTimeEstimate {
public:
    void add(Microseconds);
    /// Takes an attempt that had not been answered after the given time.
    void addUnanswered(Microseconds);

    /// Zero until the first answer.
    Microseconds median() const { return this->medianEstimate.value(); }
    /// How much time must be left for a request to be worth sending that had `whole` on arrival: enough for most
    /// answers, or for half of them if most take longer than the whole time. Zero if even these do.
    Microseconds requiredTime(Microseconds total) const;

private:
    QuantileEstimate medianEstimate { 50 };
    QuantileEstimate percentile95Estimate { 95 };
};

} // namespace Greengage
