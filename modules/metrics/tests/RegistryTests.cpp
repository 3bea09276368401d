#include <boost/test/unit_test.hpp>
#include <metrics/metrics.h>

using namespace Greengage;

BOOST_AUTO_TEST_SUITE(Registry)

BOOST_AUTO_TEST_CASE(sameNameAndLabelsReturnTheSameSeries)
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests", { { "queue", "quotes" } }).add();
    registry.counter("requests_total", "Requests", { { "queue", "quotes" } }).add(2);
    registry.counter("requests_total", "Requests", { { "queue", "a\"b\n" } }).add();
    registry.gauge("waiting", "Waiting requests").set(4);
    BOOST_TEST(registry.exposition()
        == "# HELP requests_total Requests\n# TYPE requests_total counter\n"
           "requests_total{queue=\"a\\\"b\\n\"} 1\nrequests_total{queue=\"quotes\"} 3\n"
           "# HELP waiting Waiting requests\n# TYPE waiting gauge\nwaiting 4\n");
}

BOOST_AUTO_TEST_CASE(latencyCountsAreCumulativeAndIncludeEveryDuration)
{
    LatencyHistogram histogram;
    histogram.record(Microseconds(200));
    histogram.record(Milliseconds(3));
    histogram.record(Seconds(120));
    BOOST_TEST(histogram.upperBoundSeconds(0) == 0.001);
    BOOST_TEST(histogram.cumulativeCount(0) == 1U);
    BOOST_TEST(histogram.cumulativeCount(1) == 1U);
    BOOST_TEST(histogram.cumulativeCount(2) == 2U);
    BOOST_TEST(histogram.cumulativeCount(histogram.bucketCount() - 1) == 2U);
    BOOST_TEST(histogram.count() == 3U);
}

BOOST_AUTO_TEST_CASE(seriesBeyondTheLimitShareTheOverflowSeries)
{
    MetricsRegistry registry;
    constexpr int submitted = 5000;
    for (int index = 0; index < submitted; ++index)
        registry.counter("keys_total", "Keys", { { "key", std::to_string(index) } }).add();
    auto text = registry.exposition();
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 4096 + 1 + 2);
    BOOST_TEST(text.find("keys_total{overflow=\"true\"} 904\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
