#include <Chart.h>

#include <config/model/Document.h>
#include <fleet/maintenance/MaintenancePlane.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/placement/PlacementPlane.h>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <sstream>

using namespace Greengage;

namespace {

/// The size of a fleet.
struct Size {
    int workers = 0;
    int pools = 0;
    int teams = 0;
};

/// The cost of one tick at one size.
struct Cost {
    double placementTickMilliseconds = 0;
    double placementMegabytes = 0;
    double waveTickMilliseconds = 0;
    double waveMegabytes = 0;
    double ledgerKilobytes = 0;
};

constexpr int ticks = 40;
/// The other ticks come first and fill the fleet; they are not measured.
constexpr int measuredTicks = 20;
constexpr int urgentJobInterval = 50;
constexpr double tasksPerWorker = 6;

double processorMilliseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

double heapMegabytes() { return static_cast<double>(mallinfo2().uordblks) / 1e6; }

std::shared_ptr<Document> makeDocument(const Size& size)
{
    auto document = std::make_shared<Document>();
    document->revision = 1;
    for (int index = 0; index < size.teams; index++) {
        Team team;
        team.name = TeamId("team-" + std::to_string(index));
        team.limit = size.workers;
        document->teams.push_back(team);
    }
    for (int index = 0; index < size.pools; index++) {
        Service service;
        service.name = ServiceId("service-" + std::to_string(index));
        service.maxUnavailable = 2;
        document->services.push_back(service);
        Pool pool;
        pool.name = PoolId("pool-" + std::to_string(index));
        pool.service = service.name;
        document->pools.push_back(pool);
    }
    Wave wave;
    wave.name = WaveId("wave");
    wave.maxConcurrent = size.pools;
    for (int index = 0; index < size.workers; index++)
        document->pools[static_cast<std::size_t>(index % size.pools)].vms.emplace_back("vm-" + std::to_string(index));
    for (const auto& pool : document->pools)
        wave.pools.push_back(pool.name);
    document->waves.push_back(wave);
    return document;
}

Job makeJob(int number, const Size& size)
{
    Job job;
    job.id = JobId("job-" + std::to_string(number));
    job.team = TeamId("team-" + std::to_string(number % size.teams));
    job.kind = "kind-" + std::to_string(number % 3);
    job.priority = number % urgentJobInterval == 0 ? Priority::Urgent : static_cast<Priority>(1 + number % 2);
    job.idempotent = true;
    job.declared = { 1.0 + number % 8, 2.0 + number % 24, 0 };
    return job;
}

/// In each tick one in this many running tasks completes; scaled from the completion rate of today's sites.
constexpr std::size_t tasksPerCompletion = 130;

/// Measures the mean processor time of a placement tick of a full fleet. In each tick some tasks complete, a tenth of
/// the others report, and as many jobs arrive as tasks completed.
void measurePlacement(const Size& size, const PlacementProfile& profile, Cost& cost)
{
    const double before = heapMegabytes();
    PlacementPlane plane(profile);
    Instant now { Seconds(1) };
    WorkersListed listed;
    for (int index = 0; index < size.workers; index++) {
        WorkerRecord record;
        record.id = WorkerId("worker-" + std::to_string(index));
        record.capacity = { 32, 128, 0 };
        record.boot = 1;
        listed.workers.push_back(record);
    }
    std::vector<PlacementInput> inputs { DocumentApplied { makeDocument(size) }, listed };
    int nextJob = 0;
    for (; nextJob < size.workers * tasksPerWorker * 1.5; nextJob++)
        inputs.emplace_back(JobSubmitted { makeJob(nextJob, size) });
    std::vector<std::uint64_t> running;
    double processorTime = 0;
    for (int tick = 0; tick < ticks; tick++) {
        now += Milliseconds(250);
        const double start = processorMilliseconds();
        const auto outputs = plane.tick(now, std::move(inputs));
        if (tick >= ticks - measuredTicks)
            processorTime += processorMilliseconds() - start;
        inputs.clear();
        for (const auto& output : outputs) {
            if (const auto* task = std::get_if<StartTask>(&output))
                running.push_back(task->attempt);
            if (const auto* stop = std::get_if<StopTask>(&output))
                inputs.emplace_back(AttemptReported { stop->attempt, AttemptStatus::Checkpointed, { 2, 4, 0 }, now });
        }
        const std::size_t ended = running.size() / tasksPerCompletion;
        for (std::size_t index = 0; index < running.size(); index++) {
            const auto status = index < ended ? AttemptStatus::Completed : AttemptStatus::Running;
            if (index < ended || index % 10 == static_cast<std::size_t>(tick) % 10)
                inputs.emplace_back(AttemptReported { running[index], status, { 2, 4, 0 }, now });
        }
        running.erase(running.begin(), running.begin() + static_cast<std::ptrdiff_t>(ended));
        for (std::size_t index = 0; index < ended; index++)
            inputs.emplace_back(JobSubmitted { makeJob(nextJob++, size) });
    }
    cost.placementTickMilliseconds = processorTime / measuredTicks;
    cost.placementMegabytes = heapMegabytes() - before;
}

std::vector<VmRecord> makeRecords(const Size& size)
{
    std::vector<VmRecord> records;
    for (int index = 0; index < size.workers; index++) {
        VmRecord record;
        record.id = VmId("vm-" + std::to_string(index));
        record.zone = ZoneId("zone-" + std::to_string(index / size.pools % 10));
        record.rack = RackId("rack-" + std::to_string(index / 4));
        records.push_back(record);
    }
    return records;
}

/// Measures the mean processor time of a maintenance tick while a wave runs over the whole fleet. Every fourth tick
/// gets a VM list, and each VM that was asked reports once.
void measureWave(const Size& size, Cost& cost)
{
    const double before = heapMegabytes();
    const IncarnationId self("daemon.1");
    MaintenancePlane plane(self);
    const auto records = makeRecords(size);
    Instant now { Seconds(1) };
    std::vector<MaintenanceInput> inputs { DocumentApplied { makeDocument(size) }, LedgerRead { now, 0, "" },
        WaveCommanded { "c", WaveId("wave"), WaveVerb::Start, Deadline::never() } };
    std::uint64_t version = 0;
    double processorTime = 0;
    for (int tick = 0; tick < ticks; tick++) {
        now += Milliseconds(250);
        if (tick % 4 == 0)
            inputs.emplace_back(EndpointsListed { records, {}, 0 });
        PeerState state;
        state.incarnation = self;
        state.appliedLedgerRevision = plane.ledger().revision;
        inputs.emplace_back(PeerStateReceived { state, now });
        inputs.emplace_back(MembersListed { { { self, ZoneId(), {} } } });
        const double start = processorMilliseconds();
        const auto outputs = plane.tick(now, std::move(inputs));
        if (tick >= ticks - measuredTicks)
            processorTime += processorMilliseconds() - start;
        inputs.clear();
        for (const auto& output : outputs) {
            if (const auto* write = std::get_if<UpdateLedger>(&output)) {
                inputs.emplace_back(LedgerRead { now, ++version, write->value });
                cost.ledgerKilobytes = std::max(cost.ledgerKilobytes, static_cast<double>(write->value.size()) / 1e3);
            }
            if (const auto* query = std::get_if<QueryRunning>(&output))
                inputs.emplace_back(RunningReported { query->endpoint, now, {} });
            if (const auto* reboot = std::get_if<RebootVm>(&output))
                inputs.emplace_back(RebootReported { reboot->vm, reboot->operation, true });
        }
    }
    cost.waveTickMilliseconds = processorTime / measuredTicks;
    cost.waveMegabytes = heapMegabytes() - before;
}

/// The exponent of the growth between two sizes whose worker counts differ by the factor `ratio`.
double growthExponent(double small, double large, double ratio) { return std::log(large / small) / std::log(ratio); }

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Measures how the cost of placement and waves grows with the fleet" };
    std::string folder = "docs/measurements";
    int repetitions = 3;
    int profiledWorkers = 0;
    bool useFirstFit = false;
    app.add_option("--repetitions", repetitions, "Runs per size; the minimum is reported")->check(CLI::Range(1, 100));
    app.add_option("--single", profiledWorkers, "Run only the size with this number of workers, once, for a profiler");
    app.add_flag("--first-fit", useFirstFit, "Place each task on the first worker that fits instead of the fullest");
    app.add_option("--out", folder, "Folder for the table and the plot")->check(CLI::ExistingDirectory);
    CLI11_PARSE(app, argc, argv);
    const std::vector<Size> sizes { { 131, 7, 13 }, { 263, 13, 25 }, { 525, 26, 50 }, { 1050, 52, 100 },
        { 2100, 104, 200 } };
    auto profile = PlacementProfile::yard();
    profile.packsTightly = !useFirstFit;
    for (const auto& size : sizes) {
        Cost cost;
        if (size.workers != profiledWorkers)
            continue;
        measurePlacement(size, profile, cost);
        measureWave(size, cost);
        return 0;
    }
    std::vector<double> positions;
    Series placement { "placement tick, ms", {} };
    Series wave { "wave tick, ms", {} };
    std::ostringstream table;
    table << std::fixed << std::setprecision(2)
          << "| workers | pools | teams | placement tick, ms | growth | placement heap, MB | wave tick, ms | growth | "
             "wave heap, MB | ledger, KB |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    Cost previous;
    for (const auto& size : sizes) {
        Cost cost;
        for (int repetition = 0; repetition < repetitions; repetition++) {
            Cost costOfRun;
            measurePlacement(size, profile, costOfRun);
            measureWave(size, costOfRun);
            if (repetition == 0)
                cost = costOfRun;
            cost.placementTickMilliseconds
                = std::min(cost.placementTickMilliseconds, costOfRun.placementTickMilliseconds);
            cost.waveTickMilliseconds = std::min(cost.waveTickMilliseconds, costOfRun.waveTickMilliseconds);
        }
        const bool isFirst = positions.empty();
        const double ratio = isFirst ? 1 : size.workers / positions.back();
        table << "| " << size.workers << " | " << size.pools << " | " << size.teams << " | "
              << cost.placementTickMilliseconds << " | "
              << (isFirst ? 0
                          : growthExponent(previous.placementTickMilliseconds, cost.placementTickMilliseconds, ratio))
              << " | " << cost.placementMegabytes << " | " << cost.waveTickMilliseconds << " | "
              << (isFirst ? 0 : growthExponent(previous.waveTickMilliseconds, cost.waveTickMilliseconds, ratio))
              << " | " << cost.waveMegabytes << " | " << cost.ledgerKilobytes << " |\n";
        positions.push_back(size.workers);
        placement.values.push_back(cost.placementTickMilliseconds);
        wave.values.push_back(cost.waveTickMilliseconds);
        previous = cost;
    }
    std::ofstream page(folder + "/scale.md");
    page << "# Growth measured\n\nMade by `scripts/measure scale`: processor time of one tick (four a second) on the "
            "machine of the run, least of "
         << repetitions << " runs; \"growth\" is the exponent from the size above (n log n is about 1.1 to 1.2 here).\n"
         << "Instructions of whole runs of 40 ticks: `scripts/measure-instructions`, figures below if it was run.\n"
         << "The scenarios are in tests/measure/scale/MeasureScale.cpp.\n\n"
         << table.str() << "\n![growth](scale.svg)\n";
    writeLineChart(folder + "/scale.svg", "Processor time of a tick", "workers", positions, { placement, wave });
    std::cout << table.str();
    return 0;
}
