#include <boost/test/unit_test.hpp>
#include <core/core.h>

using namespace Greengage;

BOOST_AUTO_TEST_SUITE(Core)

BOOST_AUTO_TEST_CASE(logLineQuotesAndEscapesSpecialCharacters)
{
    auto line = LogLine("refused").add("reason", "no \"key\"\n").add("count", 3).add("empty", "");
    BOOST_TEST(line.text() == "event=refused reason=\"no \\\"key\\\"\\x0a\" count=3 empty=\"\"");
}

BOOST_AUTO_TEST_CASE(enumNamesConvertInBothDirections)
{
    BOOST_TEST(nameOf(LogLevel::Warning) == "warning");
    BOOST_TEST((enumFromName<LogLevel>("error") == LogLevel::Error));
    BOOST_TEST(!enumFromName<LogLevel>("loud").has_value());
}

BOOST_AUTO_TEST_CASE(deadlineHasPassedAtItsInstant)
{
    ManualClock clock;
    auto deadline = Deadline::after(clock.current(), Milliseconds(10));
    BOOST_TEST(!deadline.hasPassed(clock.current()));
    clock.advance(Milliseconds(10));
    BOOST_TEST(deadline.hasPassed(clock.current()));
    BOOST_TEST(deadline.remaining(clock.current()).count() == 0);
    BOOST_TEST(Deadline().hasPassed(clock.current()));
}

BOOST_AUTO_TEST_CASE(digestsMatchKnownValues)
{
    BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST(randomHex(16).size() == 32U);
    BOOST_TEST(randomHex(16) != randomHex(16));
    BOOST_TEST(equalInConstantTime("same", "same"));
    BOOST_TEST(!equalInConstantTime("same", "samf"));
    BOOST_TEST(!equalInConstantTime("same", "longer"));
}

BOOST_AUTO_TEST_SUITE_END()
