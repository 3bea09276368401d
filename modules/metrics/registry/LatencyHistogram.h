#pragma once

#include <core/time/Instant.h>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

namespace Greengage {

/// Counts durations in buckets that grow by a constant factor from 1 ms to 65.536 s.
class LatencyHistogram {
public:
    LatencyHistogram();

    void record(Microseconds duration);

    std::uint64_t count() const { return this->recorded; }
    double sumSeconds() const { return this->sum; }

    /// How many buckets there are, without the last one that has no upper bound.
    int bucketCount() const;
    /// Upper bound of a bucket, in seconds.
    double upperBoundSeconds(int bucket) const;
    /// How many durations were at most the bucket's upper bound.
    std::uint64_t cumulativeCount(int bucket) const;

private:
    using LogarithmicAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<LogarithmicAxis>, Storage> histogram;
    std::uint64_t recorded = 0;
    double sum = 0;
};

} // namespace Greengage
