#include <boost/test/unit_test.hpp>
#include <checker/HistoryChecker.h>
#include <checker/HistoryReader.h>
#include <core/log/LogLine.h>
#include <standins/common/KeyValueLine.h>

using namespace Greengage;

namespace {

std::string goldenPath(const std::string& name)
{
    return std::string(SOURCE_ROOT) + "/tests/checker/golden/" + name + ".history";
}

HistoryVerdict judge(const std::string& name)
{
    HistoryReader reader;
    auto read = reader.readFile(goldenPath(name));
    BOOST_REQUIRE_MESSAGE(read.has_value(), (read ? "" : read.error()));
    return HistoryChecker(reader.history()).check();
}

/// Checks that a golden history shows one fault so often, and no other fault.
void requireOnly(const std::string& name, HistoryFault fault, int count)
{
    auto verdict = judge(name);
    BOOST_TEST(verdict.count(fault) == count, name << ": " << verdict.summary());
    BOOST_TEST(verdict.faults.size() == 1, name << ": " << verdict.summary());
}

} // namespace

BOOST_AUTO_TEST_SUITE(Checker)

BOOST_AUTO_TEST_CASE(goodHistoryIsClean)
{
    auto verdict = judge("good");
    BOOST_TEST(verdict.isClean(), verdict.summary());
    BOOST_TEST(verdict.answered == 7);
    BOOST_TEST(verdict.notRun == 1);
    BOOST_TEST(verdict.unknown == 1);
    BOOST_TEST(verdict.brokenAttempts == 1);
}

BOOST_AUTO_TEST_CASE(lostSubmissionIsCaught) { requireOnly("lost", HistoryFault::Lost, 2); }

BOOST_AUTO_TEST_CASE(cutAnswerIsCaught) { requireOnly("cut", HistoryFault::Cut, 1); }

BOOST_AUTO_TEST_CASE(doubledWorkIsCaught) { requireOnly("doubled", HistoryFault::Doubled, 1); }

BOOST_AUTO_TEST_CASE(repeatedIdempotentWorkIsNoFault) { BOOST_TEST(judge("repeated_idempotent").isClean()); }

BOOST_AUTO_TEST_CASE(falseNotRunIsCaught)
{
    requireOnly("false_not_run", HistoryFault::FalseNotRun, 1);
    requireOnly("false_not_run_by_request", HistoryFault::FalseNotRun, 1);
}

BOOST_AUTO_TEST_CASE(overLimitIsCaught) { requireOnly("over_limit", HistoryFault::OverLimit, 1); }

BOOST_AUTO_TEST_CASE(earlierLimitMayBeUsedForAWhileOnly) { requireOnly("lowered_limit", HistoryFault::OverLimit, 1); }

BOOST_AUTO_TEST_CASE(workForAWithdrawnKeyIsCaught)
{
    requireOnly("after_withdrawal", HistoryFault::AfterWithdrawal, 1);
}

BOOST_AUTO_TEST_CASE(workOnALeavingEndpointIsCaught) { requireOnly("on_leaving", HistoryFault::OnLeaving, 1); }

BOOST_AUTO_TEST_CASE(workForAnotherTeamIsCaught) { requireOnly("wrong_team", HistoryFault::WrongTeam, 1); }

BOOST_AUTO_TEST_CASE(unreadableLineIsNamed)
{
    HistoryReader reader;
    auto read = reader.readFile(goldenPath("malformed"));
    BOOST_REQUIRE(!read.has_value());
    BOOST_TEST(read.error().find("malformed.history:2: not an event") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(logLinesAreReadBack)
{
    auto line = LogLine("answer").add("empty", "").add("text", "a \"b\"\\=\x01").add("at", 12);
    auto parsed = KeyValueLine::parse(line.text());
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->text("text") == "a \"b\"\\=\x01");
    BOOST_TEST(parsed->has("empty"));
    BOOST_TEST(parsed->number("at").value() == 12);
    BOOST_TEST(!KeyValueLine::parse("event=a event=b").has_value());
    BOOST_TEST(!KeyValueLine::parse("event=\"open").has_value());
    BOOST_TEST(!KeyValueLine::parse("event=\"\\xzz\"").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
