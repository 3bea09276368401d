#include <measure/capacity/SyntheticFleet.h>

#include <json/value.h>
#include <json/writer.h>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr int vmsPerRack = 4;
constexpr int recordedChanges = 32;

std::string endpointName(int index) { return fmt::format("vm-endpoint-{}", index); }
std::string workerName(int index) { return fmt::format("vm-worker-{}", index); }

/// A list of VM names on indented continuation lines, as operators write long lists.
template <typename MakeName> std::string vmList(int first, int step, int end, const MakeName& makeName)
{
    std::string text;
    for (int index = first; index < end; index += step)
        text += "\n    " + makeName(index);
    return text;
}

} // namespace

SyntheticFleet::SyntheticFleet(FleetSize size)
    : size(std::move(size))
{
}

std::string SyntheticFleet::poolSections() const
{
    std::string text;
    for (int pool = 0; pool < this->size.pools; ++pool) {
        text += fmt::format("[pool endpoints-{}]\nowner = platform\nservice = service-{}\nvms ={}\n\n", pool,
            pool % this->size.services, vmList(pool, this->size.pools, this->size.endpoints, endpointName));
    }
    if (this->size.workers > 0)
        text += fmt::format(
            "[pool workers]\nowner = platform\nvms ={}\n\n", vmList(0, 1, this->size.workers, workerName));
    return text;
}

std::string SyntheticFleet::teamSections() const
{
    std::string text;
    for (int team = 0; team < this->size.teams; ++team) {
        text
            += fmt::format("[team team-{0}]\nowner = operations\nworkspace = workspace-{1}\nshare = 2\nlimit = 40\n\n"
                           "[key key-{0}]\nowner = operations\nteam = team-{0}\nsalt = {2:032x}\ndigest = {2:064x}\n\n",
                team, team % 6, team);
    }
    return text;
}

std::string SyntheticFleet::documentText() const
{
    std::string text;
    for (int service = 0; service < this->size.services; ++service) {
        text += fmt::format("[service service-{0}]\nowner = platform\nobjective_percent = 99.9\nmax_unavailable = 3\n\n"
                            "[queue queue-{0}]\nowner = platform\nservice = service-{0}\nidempotent = yes\n\n",
            service);
    }
    return text + this->poolSections() + this->teamSections();
}

DocumentRecord SyntheticFleet::documentRecord() const
{
    DocumentRecord record;
    record.revision = recordedChanges;
    record.text = this->documentText();
    for (int change = 0; change < recordedChanges; ++change) {
        ChangeSummary summary;
        summary.revision = record.revision - static_cast<std::uint64_t>(change);
        summary.changeId = fmt::format("{:032x}", change);
        summary.author = "operator";
        summary.sections = { "team team-1", "pool endpoints-1" };
        record.changes.push_back(summary);
    }
    return record;
}

std::vector<VmRecord> SyntheticFleet::vms() const
{
    std::vector<VmRecord> records;
    int total = this->size.endpoints + this->size.workers;
    for (int index = 0; index < total; ++index) {
        bool isEndpoint = index < this->size.endpoints;
        VmRecord record;
        record.id = VmId(isEndpoint ? endpointName(index) : workerName(index - this->size.endpoints));
        record.address = fmt::format("10.{}.{}.{}", index / 65536, index / 256 % 256, index % 256);
        record.port = 9000;
        record.zone = ZoneId(fmt::format("zone-{}", index % this->size.zones));
        record.rack = RackId(fmt::format("rack-{}", index / vmsPerRack));
        records.push_back(record);
    }
    return records;
}

std::string SyntheticFleet::vmListJson() const
{
    Json::Value root;
    for (const auto& record : this->vms()) {
        Json::Value vm;
        vm["id"] = record.id.string();
        vm["address"] = record.address;
        vm["port"] = record.port;
        vm["zone"] = record.zone.string();
        vm["rack"] = record.rack.string();
        vm["state"] = std::string(nameOf(record.state));
        root["vms"].append(vm);
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root);
}

IncarnationId SyntheticFleet::incarnation(int index) { return IncarnationId(fmt::format("{:016x}", index)); }

PeerState SyntheticFleet::peerState(int index) const
{
    PeerState state;
    state.daemon = DaemonId(fmt::format("daemon-{}", index));
    state.incarnation = incarnation(index);
    state.zone = ZoneId(fmt::format("zone-{}", index % this->size.zones));
    state.appliedRevision = recordedChanges;
    state.knownRevision = recordedChanges;
    state.confirmationAge = Milliseconds(300);
    for (int team = 0; team < this->size.teams; ++team) {
        QueueId queue(fmt::format("queue-{}", team % this->size.services));
        state.demand.push_back({ queue, TeamId(fmt::format("team-{}", team)), 3, 2 });
    }
    for (int peer = 0; peer < this->size.daemons; ++peer) {
        if (peer != index)
            state.observations.push_back(
                { incarnation(peer), ZoneId(fmt::format("zone-{}", peer % this->size.zones)), Milliseconds(250) });
    }
    return state;
}

} // namespace Greengage
