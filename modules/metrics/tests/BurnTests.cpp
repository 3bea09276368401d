#include <boost/test/unit_test.hpp>
#include <core/time/ManualClock.h>
#include <metrics/metrics.h>

using namespace Greengage;

namespace {

const ServiceId quotes("quotes");
const TeamId desk("desk");
constexpr double objectivePercent = 99.0;

void recordMany(BurnTable& table, Instant now, int good, int bad)
{
    for (int index = 0; index < good; ++index)
        table.record(now, quotes, desk, objectivePercent, true);
    for (int index = 0; index < bad; ++index)
        table.record(now, quotes, desk, objectivePercent, false);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Burn)

BOOST_AUTO_TEST_CASE(requestsExpireFromTheShortWindowFirst)
{
    ManualClock clock;
    BurnTable table;
    recordMany(table, clock.current(), 98, 2);
    BOOST_TEST(table.rows(clock.current()).front().burnRate(BurnWindow::FiveMinutes) == 2.0,
        boost::test_tools::tolerance(1e-9));
    clock.advance(std::chrono::minutes(6));
    auto row = table.rows(clock.current()).front();
    BOOST_TEST(row.windows[0].total == 0U);
    BOOST_TEST(row.burnRate(BurnWindow::FiveMinutes) == 0.0);
    BOOST_TEST(row.burnRate(BurnWindow::OneHour) == 2.0, boost::test_tools::tolerance(1e-9));
    clock.advance(std::chrono::hours(7));
    BOOST_TEST(table.rows(clock.current()).empty());
}

BOOST_AUTO_TEST_CASE(countsCoverAtLeastTheWholeWindow)
{
    ManualClock clock;
    SlidingCounts counts(std::chrono::minutes(5));
    for (int second = 0; second < 900; ++second) {
        counts.record(clock.current(), true);
        auto total = counts.counts(clock.current()).total;
        if (second >= 310)
            BOOST_TEST((total >= 300 && total <= 310));
        clock.advance(Seconds(1));
    }
}

BOOST_AUTO_TEST_CASE(decodedRowsAreSummedOverDaemons)
{
    ManualClock clock;
    BurnTable table;
    recordMany(table, clock.current(), 9, 1);
    auto encoded = encodeBurnRows(table.rows(clock.current()));
    auto decoded = decodeBurnRows(encoded);
    BOOST_REQUIRE(decoded.has_value());
    BurnReport report;
    report.add(decoded.value());
    report.add(decoded.value());
    BOOST_TEST(report.rows().size() == 1U);
    BOOST_TEST(report.rows().front().windows[0].total == 20U);
    BOOST_TEST(report.rows().front().windows[0].good == 18U);
    BOOST_TEST(report.text().find("2/20") != std::string::npos);
    BOOST_TEST(report.html().find("<td>2/20</td>") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(malformedRowsAreRejected)
{
    BOOST_TEST(!decodeBurnRows("").has_value());
    BOOST_TEST(!decodeBurnRows("{\"rows\":[{}]}").has_value());
    BOOST_TEST(!decodeBurnRows("[]").has_value());
    auto inconsistent = R"({"rows":[{"service":"s","team":"t","objectivePercent":99.0,"windows":)"
                        R"({"5m":{"total":1,"good":2},"1h":{"total":1,"good":1},"6h":{"total":1,"good":1}}}]})";
    BOOST_TEST(!decodeBurnRows(inconsistent).has_value());
}

BOOST_AUTO_TEST_CASE(htmlReportEscapesNames)
{
    BurnRow row { ServiceId("<script>"), TeamId("a&b"), objectivePercent, {} };
    row.windows.fill({ 10, 1 });
    BurnReport report;
    report.add({ row });
    BOOST_TEST(report.html().find("<script>") == std::string::npos);
    BOOST_TEST(report.html().find("a&amp;b") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
