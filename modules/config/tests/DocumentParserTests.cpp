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

std::string faultsOf(std::string_view text)
{
    auto parsed = DocumentParser().parse(text);
    return parsed.has_value() ? "none" : parsed.error().describe("doc");
}

const std::string service = "[service pricing]\nowner = quotes\n";

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentParsing)

BOOST_AUTO_TEST_CASE(exampleDocumentIsRight)
{
    auto parsed = DocumentParser().parse(readExample("brno/document.ini"), 7);
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), faultsOf(readExample("brno/document.ini")));
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

BOOST_AUTO_TEST_CASE(emptyDocumentIsRight) { BOOST_TEST(faultsOf("; nothing yet\n") == "none"); }

BOOST_AUTO_TEST_CASE(allFaultsAreListedAtOnce)
{
    BOOST_TEST(faultsOf("[service pricing]\nobjective_percent = 100\nlatncy = 3\n[team a]\nowner = o\n"
                        "workspace = W\nshare = 1\nlimit = ten\n")
        == "doc:1: [service pricing] owner: missing; this section needs it\n"
           "doc:2: [service pricing] objective_percent: \"100\" is not right; a number above 0 and below 100\n"
           "doc:3: [service pricing] latncy: unknown key; this section has: latency_objective_milliseconds, "
           "max_unavailable, max_unavailable_per_rack, max_unavailable_per_zone, objective_percent, owner\n"
           "doc:6: [team a] workspace: \"W\" is not right; a name has 1 to 63 lower-case letters, digits, '-' or '_' "
           "and "
           "starts with a letter or digit\n"
           "doc:8: [team a] limit: \"ten\" is not right; a whole number from 0 to 1000000\n");
}

BOOST_AUTO_TEST_CASE(duplicatesNameBothLines)
{
    BOOST_TEST(
        faultsOf(
            "[pool a]\nowner = o\nvms = v1 v2\n    v3\n[pool b]\nowner = o\nowner = p\nvms = v4,\n    v3\n[pool a]\n")
        == "doc:7: [pool b] owner: given twice in this section, first on line 6; keep one\n"
           "doc:9: [pool b] vms: VM \"v3\" stands in [pool a] on line 4 as well; a VM belongs to exactly one pool, "
           "once\n"
           "doc:10: [pool a] the section stands twice, first on line 1; merge the two or rename one\n");
}

BOOST_AUTO_TEST_CASE(referencesNameWhatIsMissing)
{
    BOOST_TEST(faultsOf("[queue q]\nowner = o\nservice = gone\n[wave w]\nowner = o\npools =\n    p\naction = move\n")
        == "doc:3: [queue q] service: there is no section [service gone]; add it or name one that exists\n"
           "doc:4: [wave w] target: missing; a wave that moves VMs names the pool that they move to\n"
           "doc:7: [wave w] pools: there is no section [pool p]; add it or name one that exists\n");
}

BOOST_AUTO_TEST_CASE(whatIsNotIniIsReported)
{
    auto longLine = "; " + std::string(300, 'x') + "\n";
    BOOST_TEST(
        faultsOf("stray = 1\n" + service + "nonsense\n  [pool p]\n[pool p] junk\n" + longLine + "\x01\n[zoo z]\n")
        == "doc:1: stray: the key stands outside every section; put it below a \"[name]\" line\n"
           "doc:4: [service pricing] neither a section \"[name]\", nor \"key = value\", nor a comment that starts with "
           "; "
           "or #\n"
           "doc:5: [service pricing] a section starts with \"[name]\" at the beginning of its own line\n"
           "doc:6: [service pricing] a section starts with \"[name]\" at the beginning of its own line\n"
           "doc:7: [service pricing] the line is longer than 190 bytes; divide a list over indented lines\n"
           "doc:8: [service pricing] the line holds a control character; only printable text and tabs are allowed\n"
           "doc:9: [zoo z] unknown kind of section; use [<kind> <name>], the kind being service, pool, queue, team, "
           "key "
           "or wave\n");
}

BOOST_AUTO_TEST_CASE(indentedKeyIsNotTakenIntoTheValueAbove)
{
    BOOST_TEST(faultsOf("[service s]\nowner = o\n  max_unavailable = 3\n")
        == "doc:3: [service s] owner: an indented line continues the value above it, which takes only one line; begin "
           "keys at the line's start\n");
}

BOOST_AUTO_TEST_CASE(onlyUtf8IsTaken)
{
    BOOST_TEST(faultsOf("; svíčky €\n") == "none");
    BOOST_TEST(faultsOf("; sv\xed"
                        "čky\n; \xed\xa0\x80\n; \xc0\xaf\n; cut \xc3\n; 🕯\n")
        == "doc:1: the line is not plain UTF-8 text; save the file in UTF-8, without emoji and other characters beyond "
           "U+FFFF\n"
           "doc:2: the line is not plain UTF-8 text; save the file in UTF-8, without emoji and other characters beyond "
           "U+FFFF\n"
           "doc:3: the line is not plain UTF-8 text; save the file in UTF-8, without emoji and other characters beyond "
           "U+FFFF\n"
           "doc:4: the line is not plain UTF-8 text; save the file in UTF-8, without emoji and other characters beyond "
           "U+FFFF\n"
           "doc:5: the line is not plain UTF-8 text; save the file in UTF-8, without emoji and other characters beyond "
           "U+FFFF\n");
}

BOOST_AUTO_TEST_CASE(recordsSurviveEncoding)
{
    DocumentRecord record { 9, { { 9, "c-1", "jana", 1700000000123, { "team a", "key k" } } },
        "; čeština € \"x\"\n[pool p]\n" };
    auto decoded = DocumentCodec::decode(DocumentCodec::encode(record));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().text == record.text);
    BOOST_TEST(decoded.value().changes.at(0).sections == record.changes.at(0).sections);
    BOOST_TEST(decoded.value().changes.at(0).acceptedAtUnixMilliseconds == 1700000000123);
}

BOOST_AUTO_TEST_CASE(brokenRecordsAreRefused)
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
