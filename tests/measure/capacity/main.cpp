#include <measure/capacity/CapacityProbe.h>
#include <measure/capacity/LinearFit.h>

#include <Chart.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <spdlog/fmt/fmt.h>
#include <vector>

using namespace Greengage;

namespace {

/// The size of today's site, the size expected in two years, and fractions of the latter.
const std::vector<FleetSize> sizes {
    { "today", 5, 5, 50, 50, 6, 7, 4 },
    { "1/8", 13, 13, 60, 262, 25, 7, 4 },
    { "1/4", 26, 26, 125, 525, 50, 7, 5 },
    { "1/2", 52, 52, 250, 1050, 100, 14, 7 },
    { "two years", 104, 104, 500, 2100, 200, 21, 10 },
};

void printTable(const std::vector<std::vector<Reading>>& bySize)
{
    std::string header = "| part | unit | grows with |";
    std::string separator = "| --- | --- | --- |";
    for (const auto& size : sizes) {
        header += " " + size.label + " |";
        separator += " ---: |";
    }
    fmt::print("{} slope | spread of fit |\n{} ---: | ---: |\n", header, separator);
    for (std::size_t part = 0; part < bySize.front().size(); ++part) {
        const auto& first = bySize.front()[part];
        std::string line = fmt::format("| {} | {} | {} |", first.part, first.unit, first.driver);
        std::vector<double> amounts;
        std::vector<double> costs;
        for (const auto& readings : bySize) {
            amounts.push_back(readings[part].driverAmount);
            costs.push_back(readings[part].cost);
            line += fmt::format(" {:.0f} |", readings[part].cost);
        }
        auto fit = LinearFit::through(amounts, costs);
        fmt::print("{} {:.3g} | {:.0f}% |\n", line, fit.slope, fit.spreadPercent);
    }
}

/// Draws one line for each cost in `unit`, over the number of VMs and teams of each size.
void drawSlopes(const std::vector<std::vector<Reading>>& bySize, const std::string& unit, const std::string& path)
{
    std::vector<double> positions;
    for (const auto& size : sizes)
        positions.push_back(size.endpoints + size.workers + size.teams);
    std::vector<Series> lines;
    for (std::size_t part = 0; part < bySize.front().size(); ++part) {
        if (bySize.front()[part].unit != unit)
            continue;
        Series line { bySize.front()[part].part, {} };
        for (const auto& readings : bySize)
            line.values.push_back(readings[part].cost);
        lines.push_back(line);
    }
    writeLineChart(path, "Cost of a daemon's parts, " + unit, "VMs and teams", positions, lines);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    CLI::App app("Cost of a daemon's parts at five sizes, as a Markdown table");
    std::string folder;
    app.add_option("--plots", folder, "Output folder for capacity-bytes.svg and capacity-time.svg");
    CLI11_PARSE(app, argumentCount, arguments);
    std::vector<std::vector<Reading>> bySize;
    for (const auto& size : sizes)
        bySize.push_back(CapacityProbe(size).measure());
    printTable(bySize);
    if (!folder.empty()) {
        drawSlopes(bySize, "bytes", folder + "/capacity-bytes.svg");
        drawSlopes(bySize, "us", folder + "/capacity-time.svg");
    }
    return 0;
}
