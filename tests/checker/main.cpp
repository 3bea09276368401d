#include <checker/HistoryChecker.h>
#include <checker/HistoryReader.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>

namespace {

constexpr std::size_t maxDetails = 30;
constexpr int unreadableStatus = 2;

} // namespace

/// Checks histories and prints the result. Exit code 0 without violations, 1 with violations, 2 if a history cannot be
/// read.
int main(int argumentCount, char** arguments)
{
    CLI::App app("Checks the histories that callers, endpoints and operators recorded in one run");
    std::vector<std::string> paths;
    std::string label = "history";
    app.add_option("histories", paths, "History files")->required();
    app.add_option("--label", label, "Label at the beginning of the last line");
    CLI11_PARSE(app, argumentCount, arguments);

    Greengage::HistoryReader reader;
    for (const auto& path : paths) {
        auto read = reader.readFile(path);
        if (!read) {
            std::fprintf(stderr, "%s\n", read.error().c_str());
            return unreadableStatus;
        }
    }
    auto verdict = Greengage::HistoryChecker(reader.history()).check();
    for (std::size_t index = 0; index < std::min(maxDetails, verdict.details.size()); ++index)
        std::printf("%s\n", verdict.details[index].c_str());
    std::printf("%s: %s\n", label.c_str(), verdict.summary().c_str());
    return verdict.isClean() ? 0 : 1;
}
