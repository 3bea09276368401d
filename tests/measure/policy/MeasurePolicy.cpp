#include "Chart.h"
#include "PolicyScenario.h"
#include "ServiceWave.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <future>
#include <iomanip>
#include <iostream>
#include <sstream>

using namespace Greengage;

namespace {

/// The runs of one policy over all seeds at one site.
struct PolicyRow {
    PolicyVariant variant;
    std::vector<PolicyFigures> runs;

    double mean(double PolicyFigures::*field) const
    {
        double sum = 0;
        for (const auto& run : this->runs)
            sum += run.*field;
        return sum / static_cast<double>(this->runs.size());
    }

    double worst(double PolicyFigures::*field) const
    {
        double highest = 0;
        for (const auto& run : this->runs)
            highest = std::max(highest, run.*field);
        return highest;
    }

    bool allWavesDone() const
    {
        return std::all_of(
            this->runs.begin(), this->runs.end(), [](const PolicyFigures& run) { return run.isWaveDone; });
    }
};

PolicyVariant without(const char* name, bool PlacementProfile::*mechanism)
{
    PolicyVariant variant { std::string("without ") + name, PlacementProfile::workshop() };
    variant.profile.*mechanism = false;
    return variant;
}

std::vector<PolicyVariant> makeVariants()
{
    std::vector<PolicyVariant> variants { { "workshop", PlacementProfile::workshop() },
        { "yard", PlacementProfile::yard() },
        { "baseline", PlacementProfile::baseline(), WaveMode::Batches, WaveRunner::maxOutOfService, 2 },
        without("learnt sizes", &PlacementProfile::learnsSizes), without("borrowing", &PlacementProfile::borrows),
        without("urgent preemption", &PlacementProfile::preemptsForUrgent),
        without("share preemption", &PlacementProfile::preemptsForShares),
        without("setting aside", &PlacementProfile::quarantinesWorkers),
        without("tight packing", &PlacementProfile::packsTightly),
        without("share order", &PlacementProfile::ordersByShare),
        without("checkpoint on drain", &PlacementProfile::checkpointsOnDrain) };
    variants.push_back({ "yard without headroom", PlacementProfile::yard() });
    variants.back().profile.headroom = 0;
    variants.push_back({ "without drain order", PlacementProfile::workshop(), WaveMode::FixedOrder });
    return variants;
}

/// Runs every variant with every seed, `jobs` runs in parallel. The figures do not depend on `jobs`.
std::vector<PolicyRow> measureSite(const SiteKind& kind, int seeds, int jobs, const std::string& nameFilter)
{
    std::vector<PolicyRow> rows;
    for (const auto& variant : makeVariants()) {
        if (variant.name.find(nameFilter) != std::string::npos)
            rows.push_back({ variant, {} });
    }
    for (auto& row : rows) {
        std::vector<std::future<PolicyFigures>> running;
        for (int seed = 1; seed <= seeds; seed++) {
            running.push_back(std::async(std::launch::async,
                [&kind, &row, seed] { return PolicyScenario(kind, row.variant, static_cast<unsigned>(seed)).run(); }));
            if (running.size() >= static_cast<std::size_t>(jobs) || seed == seeds) {
                for (auto& run : running)
                    row.runs.push_back(run.get());
                running.clear();
            }
        }
        std::cerr << kind.name << " " << row.variant.name << std::endl;
    }
    return rows;
}

void writeTable(std::ostream& out, const std::vector<PolicyRow>& rows)
{
    out << "| policy | buffer, worker-hours | roll-out, s | / bound | moves | from share, % | urgent start median, s | "
           "worst, s | urgent not started | in use, % | failed starts | checkpoints | batch done an hour |\n"
        << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        << std::fixed << std::setprecision(1);
    for (const auto& row : rows) {
        const double rollOut = row.mean(&PolicyFigures::rollOutSeconds);
        out << "| " << row.variant.name << " | " << row.mean(&PolicyFigures::bufferHours) << " | "
            << (row.allWavesDone() ? "" : "over ") << rollOut << " | " << std::setprecision(2)
            << rollOut / row.mean(&PolicyFigures::rollOutBoundSeconds) << std::setprecision(1) << " | "
            << row.mean(&PolicyFigures::moves) << " | " << std::setprecision(2)
            << row.mean(&PolicyFigures::shareDistancePercent) << std::setprecision(1) << " | "
            << row.mean(&PolicyFigures::urgentMedianSeconds) << " | " << row.worst(&PolicyFigures::urgentWorstSeconds)
            << " | " << row.mean(&PolicyFigures::urgentNotStarted) << " | "
            << row.mean(&PolicyFigures::utilisationPercent) << " | " << row.mean(&PolicyFigures::failedStarts) << " | "
            << row.mean(&PolicyFigures::checkpoints) << " | "
            << row.mean(&PolicyFigures::batchCompleted) * 3600.0 / (row.mean(&PolicyFigures::rollOutSeconds) + 300.0)
            << " |\n";
    }
}

void writeCharts(const std::string& folder, const SiteKind& kind, const std::vector<PolicyRow>& rows)
{
    std::vector<std::string> labels;
    Series buffer { "buffer, worker-hours", {} };
    Series distance { "distance from share, %", {} };
    Series urgent { "worst urgent start, s", {} };
    for (const auto& row : rows) {
        labels.push_back(row.variant.name);
        buffer.values.push_back(row.mean(&PolicyFigures::bufferHours));
        distance.values.push_back(row.mean(&PolicyFigures::shareDistancePercent));
        urgent.values.push_back(row.worst(&PolicyFigures::urgentWorstSeconds));
    }
    const auto pathPrefix = folder + "/policy-" + kind.name;
    writeBarChart(pathPrefix + "-buffer.svg", kind.name + ": buffer cost of one wave", labels, { buffer });
    writeBarChart(pathPrefix + "-shares.svg", kind.name + ": distance from share", labels, { distance });
    writeBarChart(pathPrefix + "-urgent.svg", kind.name + ": worst start of urgent work", labels, { urgent });
}

/// Writes a table of waves over the services' VMs, one row for each way of choosing the next VM.
void writeServiceWaves(std::ostream& out, const SiteKind& kind, int seeds)
{
    const std::vector<std::pair<std::string, WaveMode>> modes { { "rounds left first", WaveMode::Ordered },
        { "order of the document", WaveMode::FixedOrder }, { "batches (baseline)", WaveMode::Batches } };
    out << "\nOne wave over five services of 8 to 12 VMs, two out in each service and one in each zone:\n\n"
        << "| choice | roll-out, s | / bound | VM-hours out |\n| --- | --- | --- | --- |\n"
        << std::fixed;
    for (const auto& [name, mode] : modes) {
        ServiceWaveFigures sum;
        for (int seed = 1; seed <= seeds; seed++) {
            const auto figures = runServiceWave(kind.zones, mode, static_cast<unsigned>(seed));
            sum.rollOutSeconds += figures.rollOutSeconds / seeds;
            sum.boundSeconds += figures.boundSeconds / seeds;
            sum.outOfServiceHours += figures.outOfServiceHours / seeds;
        }
        out << "| " << name << " | " << std::setprecision(0) << sum.rollOutSeconds << " | " << std::setprecision(2)
            << sum.rollOutSeconds / sum.boundSeconds << " | " << sum.outOfServiceHours << " |\n";
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Measures the maintenance and placement policies at the sites' sizes" };
    int seeds = 10;
    int jobs = 3;
    std::string nameFilter;
    std::string folder = "docs/measurements";
    app.add_option("--seeds", seeds, "Number of seeds, starting with 1")->check(CLI::Range(1, 1000));
    app.add_option("--jobs", jobs, "Number of parallel runs")->check(CLI::Range(1, 64));
    app.add_option("--only", nameFilter, "Run only policies whose name contains this text");
    app.add_option("--out", folder, "Folder for the table and the plots")->check(CLI::ExistingDirectory);
    CLI11_PARSE(app, argc, argv);
    const std::vector<SiteKind> kinds { { "brno", 4, 50, { 32, 128, 0 } }, { "riga", 3, 50, { 16, 64, 0 }, 6, 6.0 } };
    std::ofstream page(folder + "/policy.md");
    page << "# Policies measured\n\nMade by `scripts/measure policy --seeds " << seeds << "` (seeds 1 to " << seeds
         << ", virtual time, means over seeds; \"worst\" is over all seeds).\nThe scenario is in "
            "tests/measure/policy/PolicyScenario.h; what is counted is in tests/measure/policy/PolicyFigures.h.\n";
    for (const auto& kind : kinds) {
        auto rows = measureSite(kind, seeds, jobs, nameFilter);
        std::ostringstream table;
        writeTable(table, rows);
        writeServiceWaves(table, kind, seeds);
        page << "\n## " << kind.name << "\n\n" << table.str();
        for (const char* chart : { "buffer", "shares", "urgent" })
            page << "\n![" << chart << "](policy-" << kind.name << "-" << chart << ".svg)\n";
        std::cout << kind.name << "\n" << table.str();
        writeCharts(folder, kind, rows);
    }
    return 0;
}
