#include <boost/test/unit_test.hpp>
#include <config/config.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

using namespace Greengage;

namespace {

std::string readPage(const std::string& path)
{
    std::ifstream stream(SOURCE_ROOT "/" + path);
    return { std::istreambuf_iterator<char>(stream), {} };
}

/// Returns the keys of a kind of section, taken from the error about an unknown key, which lists them.
std::string keysOf(const std::string& kind)
{
    const std::string prefix = "this section has: ";
    auto parsed = DocumentParser().parse("[" + kind + " a]\nunknown = 1\n");
    BOOST_REQUIRE(parsed.has_error());
    for (const auto& error : parsed.error().list) {
        auto position = error.message.find(prefix);
        if (position != std::string::npos)
            return error.message.substr(position + prefix.size());
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentPage)

BOOST_AUTO_TEST_CASE(explainsEveryKeyOfEverySection)
{
    auto page = readPage("docs/operators/document.md");
    for (const std::string& kind : { std::string("service"), std::string("pool"), std::string("queue"),
             std::string("team"), std::string("key"), std::string("wave") }) {
        auto begin = page.find("## [" + kind + " NAME]");
        BOOST_REQUIRE_MESSAGE(begin != std::string::npos, kind);
        auto section = page.substr(begin, page.find("\n## ", begin) - begin);
        std::istringstream keys(keysOf(kind));
        std::string key;
        while (std::getline(keys >> std::ws, key, ','))
            BOOST_TEST((key == "owner" || section.find("| " + key + " |") != std::string::npos), kind + " " + key);
    }
}

BOOST_AUTO_TEST_SUITE_END()
