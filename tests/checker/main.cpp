#include <checker/HistoryChecker.h>
#include <checker/HistoryReader.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>

namespace {

constexpr std::size_t maxDetails = 30;
constexpr int unreadable = 2;

} // namespace

/// Prints what the histories show. Exit code 0 without faults, 1 with faults, 2 if a history cannot be read.
int main(int argumentCount, char** arguments)
{
    CLI::App app("Judges the histories that callers, endpoints and operators recorded in one run");
    std::vector<std::string> paths;
    std::string label = "history";
    app.add_option("histories", paths, "History files")->required();
    app.add_option("--label", label, "Word that begins the last line");
    CLI11_PARSE(app, argumentCount, arguments);

    Greengage::HistoryReader reader;
    for (const auto& path : paths) {
        auto read = reader.readFile(path);
        if (!read) {
            std::fprintf(stderr, "%s\n", read.error().c_str());
            return unreadable;
        }
    }
    auto verdict = Greengage::HistoryChecker(reader.history()).check();
    for (std::size_t index = 0; index < std::min(maxDetails, verdict.details.size()); ++index)
        std::printf("%s\n", verdict.details[index].c_str());
    std::printf("%s: %s\n", label.c_str(), verdict.summary().c_str());
    return verdict.isClean() ? 0 : 1;
}
