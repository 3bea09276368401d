#include <boost/test/unit_test.hpp>
#include <config/config.h>

#include <string>

using namespace Greengage;

namespace {

std::string team(const std::string& name, int limit)
{
    return "[team " + name + "]\nowner = o\nworkspace = w\nshare = 1\nlimit = " + std::to_string(limit) + "\n";
}

DocumentRecord accept(
    const DocumentRecord& current, const DocumentSubmission& submission, std::string_view baseText = {})
{
    auto outcome = DocumentAcceptance::evaluate(current, baseText, submission, 1000);
    BOOST_REQUIRE(std::holds_alternative<AcceptedChange>(outcome));
    return std::get<AcceptedChange>(outcome).record;
}

std::string errorsOf(const AcceptanceOutcome& outcome)
{
    return std::holds_alternative<ConfigErrors>(outcome) ? std::get<ConfigErrors>(outcome).describe("") : "no errors";
}

} // namespace

BOOST_AUTO_TEST_SUITE(Acceptance)

BOOST_AUTO_TEST_CASE(eachAcceptedChangeGetsTheNextRevision)
{
    auto first = accept({}, { "c1", "jana", 0, team("a", 1) });
    BOOST_TEST(first.revision == 1U);
    BOOST_TEST(first.changes.at(0).sections.at(0) == "team a");
    auto second = accept(first, { "c2", "ivo", 1, team("a", 2) });
    BOOST_TEST(second.revision == 2U);
    BOOST_TEST(second.text == team("a", 2));
    BOOST_TEST(second.changes.size() == 2U);
    BOOST_TEST(second.changes.at(0).author == "ivo");
}

BOOST_AUTO_TEST_CASE(repeatedChangeIdIsAcceptedOnce)
{
    auto first = accept({}, { "c1", "jana", 0, team("a", 1) });
    auto second = accept(first, { "c2", "ivo", 1, team("a", 2) });
    auto again = DocumentAcceptance::evaluate(second, {}, { "c1", "jana", 0, team("a", 1) }, 2000);
    BOOST_REQUIRE(std::holds_alternative<AlreadyInForce>(again));
    BOOST_TEST(std::get<AlreadyInForce>(again).revision == 1U);
}

BOOST_AUTO_TEST_CASE(conflictNamesSectionAuthorAndRevision)
{
    auto base = team("a", 1) + "\n" + team("b", 1);
    auto first = accept({}, { "c1", "jana", 0, base });
    auto second = accept(first, { "c2", "ivo", 1, team("a", 2) + "\n" + team("b", 1) });
    auto third = accept(second, { "c3", "eva", 2, team("a", 2) + "\n" + team("b", 3) });
    DocumentSubmission late { "c4", "dan", 1, team("a", 5) + "\n" + team("b", 1) };
    BOOST_TEST(DocumentAcceptance::baseChange(third, late).value() == "c1");
    auto outcome = DocumentAcceptance::evaluate(third, base, late, 1000);
    BOOST_REQUIRE(std::holds_alternative<SectionConflicts>(outcome));
    BOOST_REQUIRE(std::get<SectionConflicts>(outcome).list.size() == 1U);
    BOOST_TEST((std::get<SectionConflicts>(outcome).list[0] == SectionConflict { "team a", "ivo", 2 }));
    late.text = team("a", 1) + "\n" + team("b", 1) + "\n" + team("c", 1);
    auto fourth = accept(third, late, base);
    BOOST_TEST(fourth.text == team("a", 2) + "\n" + team("b", 3) + "\n" + team("c", 1));
}

BOOST_AUTO_TEST_CASE(mergeThatMakesTheDocumentInvalidIsRejected)
{
    auto base = team("a", 1) + "\n" + team("b", 1);
    auto first = accept({}, { "c1", "jana", 0, base });
    auto second = accept(first, { "c2", "ivo", 1, team("b", 1) });
    auto key = "\n[key k]\nowner = o\nteam = a\nsalt = 0123456789abcdef\ndigest = " + std::string(64, '0') + "\n";
    auto outcome = DocumentAcceptance::evaluate(second, base, { "c3", "eva", 1, base + key }, 1000);
    BOOST_TEST(errorsOf(outcome)
        == ":9: [key k] team: after merging with revision 2, which others submitted meanwhile: there is no section "
           "[team a]; add it or use the name of an existing one\n");
}

BOOST_AUTO_TEST_CASE(recordKeepsTheNewestChanges)
{
    DocumentRecord record;
    for (int index = 1; index <= 40; ++index)
        record = accept(record, { "c" + std::to_string(index), "jana", record.revision, team("a", index) });
    BOOST_TEST(record.changes.size() == DocumentAcceptance::maxChanges);
    BOOST_TEST(record.changes.back().revision == 9U);
    DocumentSubmission old { "x", "jana", 8, team("a", 99) };
    BOOST_TEST(!DocumentAcceptance::baseChange(record, old).has_value());
    BOOST_TEST(errorsOf(DocumentAcceptance::evaluate(record, {}, old, 0)).find("older than the changes that are kept")
        != std::string::npos);
    old.baseRevision = 41;
    BOOST_TEST(errorsOf(DocumentAcceptance::evaluate(record, {}, old, 0)).find("the newest revision is 40")
        != std::string::npos);
}

BOOST_AUTO_TEST_CASE(encodedRecordStaysBelowTheStoresLimit)
{
    std::string text;
    for (int index = 0; text.size() < 950'000; ++index)
        text += "; " + std::string(150, 'x') + std::to_string(index) + "\n\n";
    auto record = accept({}, { "c0", "jana", 0, text });
    std::string sections;
    for (int index = 0; index < 20; ++index)
        sections += team(std::string(50, 'n') + std::to_string(index), 1);
    for (int index = 1; index <= 40; ++index) {
        auto next = index % 2 == 1 ? text + sections : text;
        record = accept(record, { "c" + std::to_string(index), std::string(64, 'j'), record.revision, next });
        BOOST_REQUIRE(DocumentCodec::encode(record).size() <= DocumentAcceptance::maxRecordBytes);
    }
    BOOST_TEST(record.changes.size() >= DocumentAcceptance::minChanges);
    BOOST_TEST(record.changes.size() < DocumentAcceptance::maxChanges);
    auto outcome = DocumentAcceptance::evaluate(record, {}, { "big", "jana", 40, text + text }, 0);
    BOOST_TEST(errorsOf(outcome).find("shorten the document") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(invalidSubmissionsAreRejected)
{
    auto outcome = DocumentAcceptance::evaluate({}, {}, { "a/b", "", 0, "x" }, 0);
    BOOST_REQUIRE(std::holds_alternative<ConfigErrors>(outcome));
    BOOST_TEST(std::get<ConfigErrors>(outcome).list.size() == 3U);
    BOOST_TEST(AdminCodec::decodeSubmission("{\"changeId\":1}").has_error());
    DocumentSubmission submission { "c", "jana", 3, "; ž\n" };
    BOOST_TEST(AdminCodec::decodeSubmission(AdminCodec::encodeSubmission(submission)).value().text == submission.text);
    ConfigErrors errors { { { "team a", "limit", 3, "wrong" } } };
    BOOST_TEST((AdminCodec::decodeErrors(AdminCodec::encodeErrors(errors)).value().list == errors.list));
    SectionConflicts conflicts { { { "team a", "ivo", 2 } } };
    BOOST_TEST((AdminCodec::decodeConflicts(AdminCodec::encodeConflicts(conflicts)).value().list == conflicts.list));
}

BOOST_AUTO_TEST_CASE(statusRoundTripsThroughJson)
{
    StatusReport report;
    report.daemon = DaemonId("brno-1");
    report.revision = 7;
    report.daemons = { { DaemonId("brno-2"), ZoneId("zone-1"), 6, 400 } };
    report.waves = { { WaveId("kernel"), "running", 3, 4, { VmId("vm-1-1") } } };
    report.endpoints = { { VmId("vm-1-2"), ServiceId("orders"), "live", 2 } };
    auto json = StatusCodec::encode(report);
    auto decoded = StatusCodec::decode(json);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(StatusCodec::encode(decoded.value()) == json);
    auto mistyped = json;
    mistyped.replace(mistyped.find("\"running\":2"), 11, "\"running\":[]");
    BOOST_TEST(StatusCodec::decode(mistyped).error().message == "member \"running\" must be a whole number");
    auto answer = AdminCodec::decodeAnswer(AdminCodec::encodeAnswer({ 4, false, { "brno-2" } }));
    BOOST_TEST(answer.value().behind.at(0) == "brno-2");
}

BOOST_AUTO_TEST_SUITE_END()
