#include <boost/test/unit_test.hpp>
#include <tests/proofs-config/CtlRun.h>
#include <tests/proofs-config/Operator.h>
#include <tests/site/Site.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>

using namespace Greengage;

namespace {

std::string readAll(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

/// Replaces what differs between runs: removes folders, and masks ports, digests and times.
std::string maskVariableParts(std::string text, const std::string& folder)
{
    for (auto place = text.find(folder); place != std::string::npos; place = text.find(folder))
        text.erase(place, folder.size());
    text = std::regex_replace(text, std::regex("(127\\.[0-9.]+):[0-9]+"), "$1:PORT");
    text = std::regex_replace(text, std::regex("\\b[0-9a-f]{32,}\\b"), "HEX");
    text = std::regex_replace(text, std::regex("[0-9-]{10}T[0-9:]{8}Z"), "TIME");
    return text;
}

/// An operator's session with real daemons, recorded as a transcript.
struct RealSession : Site {
    RealSession()
        : Site(SitePlan::small())
    {
        this->startPlatform();
        this->startDaemons();
    }

    /// Runs a command. Its output goes to the file `copy`, or to the transcript if `copy` is empty.
    int run(const std::vector<std::string>& words, const std::string& copy = "")
    {
        this->transcript += "$ greengagectl";
        for (const auto& word : words)
            this->transcript += " " + word;
        auto name = copy.empty() ? "session.out" : copy;
        auto code = CtlRun::runToEnd(*this, name, words);
        this->output = readAll(this->file(name));
        this->transcript += copy.empty() ? "\n" + this->output : " > " + copy + "\n";
        this->transcript += "[exit " + std::to_string(code) + "]\n\n";
        return code;
    }

    void setLimit(const std::string& copy, const std::string& team, int limit)
    {
        auto text = Operator::withLimit(readAll(this->file(copy)), team, limit);
        std::ofstream(this->file(copy)) << text;
    }

    std::string transcript;
    std::string output;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RealSessions)

BOOST_FIXTURE_TEST_CASE(operatorsDay, RealSession)
{
    std::ofstream(this->file("first.ini")) << this->document().text();
    BOOST_TEST(this->run({ "show" }) == 5);
    BOOST_TEST(this->run({ "check", this->file("first.ini") }) == 0);
    BOOST_TEST(this->run({ "apply", this->file("first.ini"), "--base", "0", "--author", "jana" }) == 0);
    BOOST_TEST(this->run({ "show" }, "jana.ini") == 0);
    BOOST_TEST(this->run({ "show" }, "ivo.ini") == 0);
    this->setLimit("jana.ini", "booking", 20);
    this->setLimit("ivo.ini", "venue", 20);
    BOOST_TEST(this->run({ "diff", this->file("jana.ini") }) == 1);
    BOOST_TEST(this->run({ "apply", this->file("jana.ini"), "--author", "jana" }) == 0);
    BOOST_TEST(this->run({ "apply", this->file("ivo.ini"), "--author", "ivo" }) == 0);
    this->setLimit("ivo.ini", "booking", 21);
    BOOST_TEST(this->run({ "apply", this->file("ivo.ini"), "--author", "ivo" }) == 4);
    BOOST_TEST(this->run({ "key", "grant", "booking-2", "--team", "booking", "--author", "jana" }) == 0);
    BOOST_TEST(this->run({ "key", "withdraw", "booking-1", "--author", "jana" }) == 0);
    BOOST_TEST(this->run({ "history" }) == 0);
    BOOST_TEST(this->run({ "show" }) == 0);
    BOOST_TEST(this->run({ "--json", "status" }, "status.json") == 0);
    BOOST_TEST(this->run({ "report", "burn" }, "burn.txt") == 0);
    auto transcript = maskVariableParts(this->transcript, this->file(""));
    auto path = std::string(SOURCE_ROOT) + "/tests/proofs-config/golden/operators-day.txt";
    if (std::getenv("GREENGAGE_WRITE_GOLDEN") != nullptr)
        std::ofstream(path, std::ios::binary) << transcript;
    BOOST_TEST(transcript == readAll(path));
}

BOOST_AUTO_TEST_SUITE_END()
