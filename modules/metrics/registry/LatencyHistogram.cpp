#include <metrics/registry/LatencyHistogram.h>

#include <boost/histogram/make_histogram.hpp>

namespace Greengage {

namespace {

constexpr int axisBucketCount = 16;
constexpr double smallestBoundSeconds = 0.001;
constexpr double largestBoundSeconds = 65.536;
constexpr int underflowIndex = -1;

} // namespace

LatencyHistogram::LatencyHistogram()
    : histogram(std::make_tuple(LogarithmicAxis(axisBucketCount, smallestBoundSeconds, largestBoundSeconds)))
{
}

void LatencyHistogram::record(Microseconds duration)
{
    double seconds = std::chrono::duration<double>(duration).count();
    this->histogram(seconds);
    this->recordedCount += 1;
    this->recordedSeconds += seconds;
}

int LatencyHistogram::bucketCount() const { return axisBucketCount + 1; }

double LatencyHistogram::upperBoundSeconds(int bucket) const
{
    if (bucket == 0)
        return smallestBoundSeconds;
    return this->histogram.axis(0).bin(bucket - 1).upper();
}

std::uint64_t LatencyHistogram::cumulativeCount(int bucket) const
{
    std::uint64_t total = 0;
    for (int index = underflowIndex; index < bucket; ++index)
        total += this->histogram.at(index);
    return total;
}

} // namespace Greengage
