#pragma once

#include <core/time/Instant.h>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

namespace Greengage {

/// Counts durations in buckets whose upper bounds grow by a constant factor from 1 ms to 65.536 s.
class LatencyHistogram {
public:
    LatencyHistogram();

    void record(Microseconds duration);

    std::uint64_t count() const { return this->recordedCount; }
    double sumSeconds() const { return this->recordedSeconds; }

    /// Returns the number of buckets that have an upper bound; the last bucket, up to +Inf, is not counted.
    int bucketCount() const;
    /// Returns the upper bound of a bucket in seconds.
    double upperBoundSeconds(int bucket) const;
    /// Returns how many recorded durations did not exceed the bucket's upper bound.
    std::uint64_t cumulativeCount(int bucket) const;

private:
    using LogarithmicAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<LogarithmicAxis>, Storage> histogram;
    std::uint64_t recordedCount = 0;
    double recordedSeconds = 0;
};

} // namespace Greengage
