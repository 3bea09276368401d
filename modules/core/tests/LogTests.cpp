#include <core/log/BoundedSink.h>

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace Greengage;

namespace {

struct PipeFixture {
    PipeFixture()
    {
        BOOST_REQUIRE(pipe(this->ends) == 0);
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    }

    ~PipeFixture()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }

    std::string drain()
    {
        std::string text;
        char buffer[65536];
        for (ssize_t count = 0; (count = read(this->ends[0], buffer, sizeof buffer)) > 0;)
            text.append(buffer, static_cast<std::size_t>(count));
        return text;
    }

    static void log(BoundedSink& sink, spdlog::level::level_enum level, const std::string& text)
    {
        sink.log(spdlog::details::log_msg("test", level, text));
    }

    int ends[2] {};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Logging, PipeFixture)

BOOST_AUTO_TEST_CASE(writerDoesNotBlockOnAReaderThatStopsReading)
{
    BoundedSink sink(this->ends[1]);
    std::string line(1000, 'x');
    // Far more than the pipe's buffer holds, so a blocking write would hang the test.
    for (int count = 0; count < 5000; ++count)
        PipeFixture::log(sink, spdlog::level::warn, line);
    this->drain();
    PipeFixture::log(sink, spdlog::level::warn, "after");
    std::string text = this->drain();
    BOOST_TEST(text.find("event=log_lines_dropped count=") != std::string::npos);
    BOOST_TEST(text.find("after") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(rateLimitAppliesToInformationalLinesOnly)
{
    BoundedSink sink(this->ends[1]);
    std::size_t kept = 0;
    for (std::uint32_t count = 0; count < 3 * BoundedSink::maxInformationalLinesPerSecond; ++count) {
        PipeFixture::log(sink, spdlog::level::info, "usual");
        std::string text = this->drain();
        kept += text.find("usual") != std::string::npos ? 1 : 0;
    }
    // The test may span two of the sink's one-second windows, each with its own limit.
    BOOST_TEST(kept <= 2 * BoundedSink::maxInformationalLinesPerSecond);
    PipeFixture::log(sink, spdlog::level::warn, "refused");
    BOOST_TEST(this->drain().find("refused") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
