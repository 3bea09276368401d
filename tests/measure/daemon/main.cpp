#include <measure/capacity/LinearFit.h>
#include <measure/daemon/IdleMeasurement.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

namespace {

using Greengage::IdleCost;
using Greengage::IdleSize;
using Greengage::LinearFit;

void printFit(
    const char* cost, const char* amount, const std::vector<double>& amounts, const std::vector<double>& costs)
{
    LinearFit fit = LinearFit::through(amounts, costs);
    std::printf(
        "fit: %s = %.4f + %.6f * %s (spread %.1f%%)\n", cost, fit.intercept, fit.slope, amount, fit.spreadPercent);
}

/// Measures sites that differ only in the member `varied`, and fits a line through each cost.
void measure(const char* amount, const std::vector<IdleSize>& sizes, int IdleSize::*varied, Greengage::Seconds window)
{
    std::vector<double> amounts;
    std::vector<double> cpu;
    std::vector<double> memory;
    std::vector<double> mesh;
    std::vector<double> calls;
    std::printf(
        "\n| daemons | endpoints | teams | CPU %% of a core | resident MB | private MB | mesh KB/s | store calls/s |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const IdleSize& size : sizes) {
        IdleCost cost = Greengage::measureIdleSite(size, window);
        std::printf("| %d | %d | %d | %.3f | %.2f | %.2f | %.3f | %.3f |\n", size.daemons, size.endpoints, size.teams,
            cost.cpuPercent, cost.residentMegabytes, cost.privateMegabytes, cost.meshKilobytesPerSecond,
            cost.storeCallsPerSecond);
        std::fflush(stdout);
        amounts.push_back(size.*varied);
        cpu.push_back(cost.cpuPercent);
        memory.push_back(cost.residentMegabytes);
        mesh.push_back(cost.meshKilobytesPerSecond);
        calls.push_back(cost.storeCallsPerSecond);
    }
    printFit("CPU %", amount, amounts, cpu);
    printFit("resident MB", amount, amounts, memory);
    printFit("mesh KB/s", amount, amounts, mesh);
    printFit("store calls/s", amount, amounts, calls);
}

} // namespace

/// Measures the cost of an idle daemon, and how it grows with the daemons, endpoints and teams of a site.
int main(int argumentCount, char** arguments)
{
    CLI::App app("Cost of an idle daemon");
    int seconds = 10;
    app.add_option("--seconds", seconds, "Length of each measured window")->check(CLI::Range(1, 600));
    CLI11_PARSE(app, argumentCount, arguments);
    Greengage::Seconds window(seconds);
    try {
        measure("daemons", { { 2, 50, 4 }, { 4, 50, 4 }, { 6, 50, 4 }, { 8, 50, 4 }, { 12, 50, 4 }, { 21, 50, 4 } },
            &IdleSize::daemons, window);
        measure("endpoints", { { 4, 10, 4 }, { 4, 25, 4 }, { 4, 50, 4 }, { 4, 100, 4 } }, &IdleSize::endpoints, window);
        measure("teams", { { 4, 50, 4 }, { 4, 50, 50 }, { 4, 50, 100 }, { 4, 50, 200 } }, &IdleSize::teams, window);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "measure-daemon: %s\n", error.what());
        return 1;
    }
    return 0;
}
