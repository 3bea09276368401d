#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// Running estimate of one quantile of a stream of durations. Each sample moves the estimate by a step in proportion to
/// its size, so that it follows changes of the load without storing samples.
class QuantileEstimate {
public:
    /// `percent` is the percentage of samples that should lie below the estimate, between 1 and 99.
    explicit QuantileEstimate(int percent);

    void add(Microseconds);
    /// Zero until the first sample.
    Microseconds value() const { return this->estimate; }

private:
    int percent;
    Microseconds estimate {};
};

} // namespace Greengage
