#include <boost/test/unit_test.hpp>
#include <config/config.h>

#include <fstream>
#include <iterator>
#include <string>

using namespace Greengage;

namespace {

std::string readExample(const std::string& name)
{
    std::ifstream stream(SOURCE_ROOT "/examples/" + name);
    return { std::istreambuf_iterator<char>(stream), {} };
}

std::string errorsOf(std::string_view text)
{
    auto parsed = DocumentParser().parse(text);
    return parsed.has_value() ? "none" : parsed.error().describe("doc");
}

const std::string service = "[service pricing]\nowner = quotes\n";

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentParsing)

BOOST_AUTO_TEST_CASE(exampleDocumentIsValid)
{
    auto parsed = DocumentParser().parse(readExample("brno/document.ini"), 7);
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), errorsOf(readExample("brno/document.ini")));
    const auto& document = parsed.value();
    BOOST_TEST(document.revision == 7U);
    BOOST_TEST(document.services.size() == 5U);
    BOOST_TEST(document.pools.at(0).vms.size() == 10U);
    BOOST_TEST(document.pools.at(0).vms.at(6).string() == "vm-3-2");
    BOOST_TEST(document.services.at(0).objectivePercent == 99.9);
    BOOST_TEST((document.queues.at(1).access == QueueAccess::Open));
    BOOST_TEST(!document.queues.at(5).idempotent);
    BOOST_TEST(document.waves.at(0).pools.size() == 5U);
}

BOOST_AUTO_TEST_CASE(emptyDocumentIsValid) { BOOST_TEST(errorsOf("; nothing yet\n") == "none"); }

BOOST_AUTO_TEST_CASE(allErrorsAreReportedTogether)
{
    BOOST_TEST(errorsOf("[service pricing]\nobjective_percent = 100\nlatncy = 3\n[team a]\nowner = o\n"
                        "workspace = W\nshare = 1\nlimit = ten\n")
        == "doc:1: [service pricing] owner: missing; this key is required in this section\n"
           "doc:2: [service pricing] objective_percent: \"100\" is not valid; expected a number above 0 and below 100\n"
           "doc:3: [service pricing] latncy: unknown key; this section has: latency_objective_milliseconds, "
           "max_unavailable, max_unavailable_per_rack, max_unavailable_per_zone, objective_percent, owner\n"
           "doc:6: [team a] workspace: \"W\" is not valid; a name has 1 to 63 lower-case letters, digits, '-' or '_' "
           "and "
           "starts with a letter or digit\n"
           "doc:8: [team a] limit: \"ten\" is not valid; expected a whole number from 0 to 1000000\n");
}

BOOST_AUTO_TEST_CASE(errorsAboutDuplicatesNameBothLines)
{
    BOOST_TEST(
        errorsOf(
            "[pool a]\nowner = o\nvms = v1 v2\n    v3\n[pool b]\nowner = o\nowner = p\nvms = v4,\n    v3\n[pool a]\n")
        == "doc:7: [pool b] owner: given twice in this section, first on line 6; keep one\n"
           "doc:9: [pool b] vms: VM \"v3\" is already listed in [pool a] on line 4; each VM belongs to exactly one "
           "pool "
           "and is listed once\n"
           "doc:10: [pool a] the section appears twice, first on line 1; merge the two or rename one\n");
}

BOOST_AUTO_TEST_CASE(errorsAboutReferencesNameTheMissingSection)
{
    BOOST_TEST(errorsOf("[queue q]\nowner = o\nservice = gone\n[wave w]\nowner = o\npools =\n    p\naction = move\n")
        == "doc:3: [queue q] service: there is no section [service gone]; add it or use the name of an existing "
           "one\n"
           "doc:4: [wave w] target: missing; a wave with action = move needs the name of the pool that its VMs move "
           "to\n"
           "doc:7: [wave w] pools: there is no section [pool p]; add it or use the name of an existing one\n");
}

BOOST_AUTO_TEST_CASE(invalidIniIsReported)
{
    auto longLine = "; " + std::string(300, 'x') + "\n";
    BOOST_TEST(
        errorsOf("stray = 1\n" + service + "nonsense\n  [pool p]\n[pool p] junk\n" + longLine + "\x01\n[zoo z]\n")
        == "doc:1: stray: the key is not in any section; put it below a \"[name]\" line\n"
           "doc:4: [service pricing] expected a section header \"[name]\", \"key = value\" or a comment that starts "
           "with "
           "; or #\n"
           "doc:5: [service pricing] a section header must be \"[name]\" at the start of its own line\n"
           "doc:6: [service pricing] a section header must be \"[name]\" at the start of its own line\n"
           "doc:7: [service pricing] the line is longer than 190 bytes; split a list over several indented lines\n"
           "doc:8: [service pricing] the line contains a control character; only printable text and tabs are allowed\n"
           "doc:9: [zoo z] unknown kind of section; expected [<kind> <name>], where <kind> is service, pool, queue, "
           "team, key or wave\n");
}

BOOST_AUTO_TEST_CASE(indentedKeyIsNotAppendedToTheValueAbove)
{
    BOOST_TEST(errorsOf("[service s]\nowner = o\n  max_unavailable = 3\n")
        == "doc:3: [service s] owner: an indented line continues the value above it, which must be on one line; start "
           "keys at the beginning of a line\n");
}

BOOST_AUTO_TEST_CASE(onlyUtf8UpToUFfffIsAccepted)
{
    BOOST_TEST(errorsOf("; svíčky €\n") == "none");
    BOOST_TEST(errorsOf("; sv\xed"
                        "čky\n; \xed\xa0\x80\n; \xc0\xaf\n; cut \xc3\n; 🕯\n")
        == "doc:1: the line is not UTF-8 text with characters up to U+FFFF; save the file in UTF-8, without emoji and "
           "other characters beyond U+FFFF\n"
           "doc:2: the line is not UTF-8 text with characters up to U+FFFF; save the file in UTF-8, without emoji and "
           "other characters beyond U+FFFF\n"
           "doc:3: the line is not UTF-8 text with characters up to U+FFFF; save the file in UTF-8, without emoji and "
           "other characters beyond U+FFFF\n"
           "doc:4: the line is not UTF-8 text with characters up to U+FFFF; save the file in UTF-8, without emoji and "
           "other characters beyond U+FFFF\n"
           "doc:5: the line is not UTF-8 text with characters up to U+FFFF; save the file in UTF-8, without emoji and "
           "other characters beyond U+FFFF\n");
}

BOOST_AUTO_TEST_CASE(recordsRoundTripThroughJson)
{
    DocumentRecord record { 9, { { 9, "c-1", "jana", 1700000000123, { "team a", "key k" } } },
        "; čeština € \"x\"\n[pool p]\n" };
    auto decoded = DocumentCodec::decode(DocumentCodec::encode(record));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().text == record.text);
    BOOST_TEST(decoded.value().changes.at(0).sections == record.changes.at(0).sections);
    BOOST_TEST(decoded.value().changes.at(0).acceptedAtUnixMilliseconds == 1700000000123);
}

BOOST_AUTO_TEST_CASE(invalidRecordsAreRejected)
{
    const std::string nested(5000, '[');
    for (const std::string& json :
        { std::string(), std::string("{}"), std::string("{\"revision\":-1,\"changes\":[],\"text\":\"\"}"),
            std::string("{\"revision\":1,\"changes\":[],\"text\":\"\"} x"),
            std::string("{\"revision\":1,\"changes\":[3],\"text\":\"\"}"),
            std::string("{\"revision\":1,\"revision\":2,\"changes\":[],\"text\":\"\"}"), nested,
            std::string("{\"revision\":1,\"changes\":[],\"text\":\"\xf6\"}") })
        BOOST_TEST(DocumentCodec::decode(json).has_error(), json.substr(0, 80));
}

BOOST_AUTO_TEST_SUITE_END()
