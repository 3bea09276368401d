#include <cli/tests/Session.h>

#include <cli/cli.h>
#include <config/config.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>
#include <unistd.h>

namespace Greengage {

namespace {

constexpr std::uint16_t firstPort = 22000;
constexpr int portCount = 400;
const std::string firstAddress = "127.1.1.1";
const std::string secondAddress = "127.1.2.1";

std::uint16_t portForProcess() { return static_cast<std::uint16_t>(firstPort + getpid() % portCount); }

std::string readAll(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

std::string maskVariableParts(std::string text)
{
    text = std::regex_replace(text, std::regex("(127\\.[0-9.]+):[0-9]+"), "$1:PORT");
    text = std::regex_replace(text, std::regex("\\b[0-9a-f]{32,}\\b"), "HEX");
    return text;
}

std::vector<std::string> splitWords(const std::string& line)
{
    std::istringstream stream(line);
    return { std::istream_iterator<std::string>(stream), {} };
}

} // namespace

Session::Session()
    : first(this->loop, this->fleet, "brno-1", firstAddress, portForProcess())
    , second(this->loop, this->fleet, "brno-2", secondAddress, portForProcess())
    , previousFolder(std::filesystem::current_path())
{
    BOOST_REQUIRE(this->first.listen());
    BOOST_REQUIRE(this->second.listen());
    auto pattern = (std::filesystem::temp_directory_path() / "greengagectl-XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    this->folder = pattern;
    std::filesystem::current_path(this->folder);
    auto port = ":" + std::to_string(portForProcess());
    setenv("GREENGAGE_DAEMONS", (firstAddress + port + "," + secondAddress + port).c_str(), 1);
    setenv("GREENGAGE_KEY", "operator-key", 1);
    setenv("GREENGAGE_AUTHOR", "jana", 1);
}

Session::~Session()
{
    std::filesystem::current_path(this->previousFolder);
    std::filesystem::remove_all(this->folder);
}

int Session::run(const std::string& commandLine)
{
    this->transcript += "$ greengagectl " + commandLine + "\n";
    auto words = splitWords(commandLine);
    std::string file;
    if (words.size() > 2 && words[words.size() - 2] == ">") {
        file = words.back();
        words.resize(words.size() - 2);
    }
    std::ostringstream out;
    std::ostringstream err;
    CommandLine line(this->loop.base(), out, err);
    auto code = static_cast<int>(line.run(words));
    this->output = out.str();
    if (!file.empty())
        this->write(file, this->output);
    this->transcript += maskVariableParts((file.empty() ? this->output : "") + err.str());
    this->transcript += "[exit " + std::to_string(code) + "]\n\n";
    return code;
}

void Session::edit(const std::string& file, const std::string& from, const std::string& to)
{
    auto content = readAll(file);
    auto position = content.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    this->write(file, content.replace(position, from.size(), to));
}

void Session::write(const std::string& file, const std::string& content)
{
    std::ofstream(file, std::ios::binary) << content;
}

void Session::matchGolden(const std::string& name) const
{
    auto path = std::string(SOURCE_ROOT) + "/modules/cli/tests/golden/" + name + ".txt";
    if (std::getenv("GREENGAGE_WRITE_GOLDEN") != nullptr)
        std::ofstream(path, std::ios::binary) << this->transcript;
    BOOST_TEST(this->transcript == readAll(path));
}

} // namespace Greengage
