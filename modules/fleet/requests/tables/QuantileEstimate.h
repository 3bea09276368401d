#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// A running estimate of one quantile of a stream of times. Each sample moves it by a step in proportion to its size,
/// so it follows a change of the load and needs no memory of earlier samples.
class QuantileEstimate {
public:
    /// `percent` is the part of the samples that shall lie below the estimate, between 1 and 99.
    explicit QuantileEstimate(int percent);

    void add(Microseconds);
    /// Zero until the first sample.
    Microseconds value() const { return this->estimate; }

private:
    int percent;
    Microseconds estimate {};
};

} // namespace Greengage
