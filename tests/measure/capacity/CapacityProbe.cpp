#include <measure/capacity/CapacityProbe.h>

#include <config/document/DocumentCodec.h>
#include <config/document/DocumentParser.h>
#include <core/checks/Assertion.h>
#include <core/time/ManualClock.h>
#include <fleet/maintenance/MaintenancePlane.h>
#include <fleet/requests/RequestPlane.h>
#include <fleet/requests/limits/AllotmentTable.h>
#include <json/json.h>
#include <measure/capacity/CostMeter.h>
#include <mesh/codec/PeerStateCodec.h>
#include <store/http/HttpResponse.h>
#include <store/store/StoreAnswers.h>

namespace Greengage {

namespace {

constexpr int slowOperationRepeats = 5;
constexpr int tickRepeats = 200;
constexpr Milliseconds tickInterval { 50 };

std::string compact(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::shared_ptr<const Document> parseDocument(const SyntheticFleet& fleet)
{
    auto parsed = DocumentParser().parse(fleet.documentText(), 1);
    if (!parsed.has_value())
        std::fputs(parsed.error().describe("synthetic document").c_str(), stderr);
    assertInvariant(parsed.has_value(), "the synthetic document parses");
    return std::make_shared<Document>(std::move(parsed.value()));
}

} // namespace

CapacityProbe::CapacityProbe(const FleetSize& size)
    : size(size)
    , fleet(size)
{
}

std::vector<Reading> CapacityProbe::measure()
{
    this->measureDocument();
    this->measureVmList();
    this->measurePeerState();
    this->measureAllotments();
    this->measureRequestPlane();
    this->measureMaintenancePlane();
    return this->readings;
}

void CapacityProbe::addReading(const char* part, const char* unit, const char* driver, int driverAmount, double cost)
{
    this->readings.push_back({ part, unit, driver, static_cast<double>(driverAmount), cost });
}

void CapacityProbe::measureDocument()
{
    auto text = this->fleet.documentText();
    auto record = DocumentCodec::encode(this->fleet.documentRecord());
    int entries = this->size.endpoints + this->size.workers + 2 * this->size.teams;
    const char* driver = "VMs + teams + keys";
    this->addReading("document record in the store", "bytes", driver, entries, static_cast<double>(record.size()));
    this->addReading(
        "decode a document record", "us", driver, entries, CostMeter::microsecondsOf(slowOperationRepeats, [&] {
            assertInvariant(DocumentCodec::decode(record).has_value(), "the synthetic document record decodes");
        }));
    this->addReading("parse and check a document", "us", driver, entries,
        CostMeter::microsecondsOf(slowOperationRepeats,
            [&] { assertInvariant(DocumentParser().parse(text).has_value(), "the synthetic document parses"); }));
    double before = CostMeter::heapBytes();
    auto document = parseDocument(this->fleet);
    this->addReading("parsed document", "bytes of heap", driver, entries, CostMeter::heapBytes() - before);
}

void CapacityProbe::measureVmList()
{
    HttpResponse answer;
    answer.status = 200;
    answer.body = this->fleet.vmListJson();
    int vms = this->size.endpoints + this->size.workers;
    this->addReading("VM list", "bytes", "VMs", vms, static_cast<double>(answer.body.size()));
    this->addReading("decode a VM list", "us", "VMs", vms, CostMeter::microsecondsOf(slowOperationRepeats, [&] {
        assertInvariant(
            StoreAnswers::toVms(StoreAnswers::parse(answer).value()).has_value(), "the synthetic VM list decodes");
    }));
}

void CapacityProbe::measurePeerState()
{
    auto state = this->fleet.peerState(0);
    auto text = compact(PeerStateCodec::toJson(state));
    this->addReading(
        "peer state, all teams busy", "bytes", "teams", this->size.teams, static_cast<double>(text.size()));
    this->addReading("encode and decode a peer state", "us", "teams", this->size.teams,
        CostMeter::microsecondsOf(slowOperationRepeats, [&] {
            auto encoded = compact(PeerStateCodec::toJson(state));
            Json::Value decoded;
            std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
            reader->parse(encoded.data(), encoded.data() + encoded.size(), &decoded, nullptr);
            assertInvariant(PeerStateCodec::fromJson(decoded).has_value(), "the synthetic peer state decodes");
        }));
    state.demand.clear();
    text = compact(PeerStateCodec::toJson(state));
    this->addReading("peer state, no work", "bytes", "daemons", this->size.daemons, static_cast<double>(text.size()));
}

void CapacityProbe::measureAllotments()
{
    AllotmentTable table;
    for (int team = 0; team < this->size.teams; ++team) {
        for (int daemon = 0; daemon < this->size.daemons; ++daemon)
            table.assign(TeamId("team-" + std::to_string(team)), SyntheticFleet::incarnation(daemon), 3);
    }
    auto text = table.format();
    int entries = this->size.teams * this->size.daemons;
    const char* driver = "teams x daemons";
    this->addReading("allotment book, all teams busy", "bytes", driver, entries, static_cast<double>(text.size()));
    this->addReading("decode an allotment book", "us", driver, entries,
        CostMeter::microsecondsOf(slowOperationRepeats,
            [&] { assertInvariant(AllotmentTable::parse(text).has_value(), "the synthetic allotment book decodes"); }));
}

void CapacityProbe::measureRequestPlane()
{
    double before = CostMeter::heapBytes();
    ManualClock clock;
    RequestPlane plane(this->fleet.peerState(0));
    std::vector<RequestInput> inputs { DocumentApplied { parseDocument(this->fleet) },
        EndpointsListed { this->fleet.vms(), {}, 0 }, StoreConfirmed { clock.current(), 1 } };
    for (int peer = 1; peer < this->size.daemons; ++peer) {
        auto state = this->fleet.peerState(peer);
        state.demand.clear();
        inputs.emplace_back(PeerStateReceived { state, clock.current() });
    }
    this->confirmAllotments(plane, clock.current(), plane.tick(clock.current(), std::move(inputs)));
    int vms = this->size.endpoints + this->size.workers;
    this->addReading("request plane", "bytes of heap", "VMs", vms, CostMeter::heapBytes() - before);
    this->addReading(
        "request plane's tick, no work", "us", "teams", this->size.teams, CostMeter::microsecondsOf(tickRepeats, [&] {
            clock.advance(tickInterval);
            auto outputs = plane.tick(clock.current(), { StoreConfirmed { clock.current(), 1 } });
            this->confirmAllotments(plane, clock.current(), outputs);
        }));
    this->addReading(
        "request plane takes a VM list", "us", "VMs", vms, CostMeter::microsecondsOf(slowOperationRepeats, [&] {
            plane.tick(clock.current(), { EndpointsListed { this->fleet.vms(), {}, 0 } });
        }));
    auto otherState = this->fleet.peerState(1);
    this->addReading("request plane takes a peer state", "us", "teams", this->size.teams,
        CostMeter::microsecondsOf(slowOperationRepeats, [&] {
            plane.tick(clock.current(), { PeerStateReceived { otherState, clock.current() } });
        }));
}

void CapacityProbe::confirmAllotments(RequestPlane& plane, Instant now, const std::vector<RequestOutput>& outputs)
{
    for (const auto& output : outputs) {
        if (const auto* update = std::get_if<UpdateAllotments>(&output))
            plane.tick(now, { AllotmentsRead { update->expectedVersion + 1, update->value, true } });
    }
}

void CapacityProbe::measureMaintenancePlane()
{
    double before = CostMeter::heapBytes();
    ManualClock clock;
    MaintenancePlane plane(SyntheticFleet::incarnation(0));
    MembersListed members { { { SyntheticFleet::incarnation(0), ZoneId("zone-0"), {} } } };
    plane.tick(clock.current(),
        { DocumentApplied { parseDocument(this->fleet) }, EndpointsListed { this->fleet.vms(), {}, 0 }, members,
            LedgerRead { clock.current(), 0, "" } });
    int vms = this->size.endpoints + this->size.workers;
    this->addReading("maintenance plane", "bytes of heap", "VMs", vms, CostMeter::heapBytes() - before);
    this->addReading(
        "maintenance plane's tick, no wave", "us", "VMs", vms, CostMeter::microsecondsOf(slowOperationRepeats, [&] {
            clock.advance(Milliseconds(250));
            plane.tick(clock.current(), {});
        }));
}

} // namespace Greengage
