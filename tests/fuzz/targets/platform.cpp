#include <coordinator/fleet/VmOrderRecord.h>
#include <coordinator/fleet/WaveRecord.h>
#include <coordinator/leadership/LeaderRecord.h>
#include <coordinator/leadership/OpenOrdersCodec.h>
#include <coordinator/placing/EndedJob.h>
#include <coordinator/placing/WorkerRosterRecord.h>
#include <jobs/codec/JobProgressCodec.h>
#include <jobs/codec/JobRecordCodec.h>
#include <jobs/systems/PlacementSystem.h>
#include <jobs/systems/PoolLoad.h>
#include <jobs/tables/JobTables.h>
#include <jobs/tables/OpenOrders.h>
#include <platform/ingress/JobBodyCodec.h>
#include <platform/ingress/OperatorConfiguration.h>
#include <platform/machines/VmListCodec.h>
#include <platform/machines/WaveCodec.h>
#include <platform/workers/WorkerReportCodec.h>
#include <tests/fuzz/FuzzInput.h>

using namespace Greengage;

namespace {

/// A submission that is accepted can be stored, read again and placed under any configuration.
void usePolicies(JobSpec spec, const JobPolicies& policies)
{
    JobTables tables;
    tables.policies = std::make_shared<JobPolicies>(policies);
    JobRecord record { JobId("j"), QueueId("q"), TeamId("t"), 1'700'000'000'000, std::move(spec), std::nullopt };
    if (!policies.queues.empty())
        record.queuePolicy = policies.queues.begin()->second;
    requireProperty(JobRecordCodec().decode(JobRecordCodec().encode(record)).has_value());
    tables.addJob(std::move(record), {});
    WorkerRow& worker = tables.workers[WorkerId("w")];
    worker.info.id = WorkerId("w");
    worker.info.capacity = { 8000, 64'000, 0 };
    worker.isReached = true;
    worker.isOnRoster = true;
    PlacementSystem(tables).place(BootClock::now(), 1'700'000'000'000);
    PoolLoad::measure(tables, 1'700'000'000'000);
}

/// Decodes the input as each record that daemons store for each other.
void decodeRecords(const std::string& text)
{
    auto job = JobRecordCodec().decode(text);
    auto progress = JobProgressCodec().decode(JobId("j"), text);
    auto wave = WaveRecord::decode(text);
    auto roster = WorkerRosterRecord::decode(text);
    auto leader = LeaderRecord::decode(text);
    auto earlier = OpenOrdersCodec().decode(text, Instant());
    auto ended = EndedJob::decode(text);
    auto orders = VmOrderRecord::decode(text);
}

} // namespace

/// Decodes what workers, operators, callers and the VM list write on the platform, and the stored records.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr std::uint32_t mostTasks = 200;
    auto text = inputText(data, size);
    auto report = decodeWorkerReport(text);
    auto entry = decodeWorkerEntry(WorkerId("w"), text);
    auto page = decodeVmListPage(text);
    auto wave = decodeWave(text, Instant());
    auto configuration = decodeConfiguration(text);
    auto spec = decodeJobBody(text);
    decodeRecords(text);
    if (spec.has_value() && spec.value().steps.front().taskCount <= mostTasks && spec.value().occurrences <= mostTasks)
        usePolicies(spec.value(), configuration ? *configuration->policies : JobPolicies());
    return 0;
}
