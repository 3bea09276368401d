#include <measure/capacity/CapacityProbe.h>

#include <config/document/DocumentCodec.h>
#include <config/document/DocumentParser.h>
#include <core/checks/Assertion.h>
#include <core/time/ManualClock.h>
#include <fleet/maintenance/MaintenancePlane.h>
#include <fleet/requests/RequestPlane.h>
#include <fleet/requests/limits/AllotmentBook.h>
#include <json/json.h>
#include <measure/capacity/CostMeter.h>
#include <mesh/codec/PeerStateCodec.h>
#include <store/http/HttpAnswer.h>
#include <store/store/StoreAnswers.h>

namespace Greengage {

namespace {

constexpr int fewRepeats = 5;
constexpr int manyRepeats = 200;
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
        std::fputs(parsed.error().describe("synthetic").c_str(), stderr);
    assertInvariant(parsed.has_value(), "the synthetic document is right");
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

void CapacityProbe::add(const char* part, const char* unit, const char* driver, int driverAmount, double cost)
{
    this->readings.push_back({ part, unit, driver, static_cast<double>(driverAmount), cost });
}

void CapacityProbe::measureDocument()
{
    auto text = this->fleet.documentText();
    auto record = DocumentCodec::encode(this->fleet.documentRecord());
    int entries = this->size.endpoints + this->size.workers + 2 * this->size.teams;
    const char* driver = "VMs + teams + keys";
    this->add("document record in the store", "bytes", driver, entries, static_cast<double>(record.size()));
    this->add("decode a document record", "us", driver, entries, CostMeter::microsecondsOf(fewRepeats, [&] {
        assertInvariant(DocumentCodec::decode(record).has_value(), "ok");
    }));
    this->add("parse and check a document", "us", driver, entries, CostMeter::microsecondsOf(fewRepeats, [&] {
        assertInvariant(DocumentParser().parse(text).has_value(), "ok");
    }));
    double before = CostMeter::heapBytes();
    auto document = parseDocument(this->fleet);
    this->add("parsed document", "bytes of heap", driver, entries, CostMeter::heapBytes() - before);
}

void CapacityProbe::measureVmList()
{
    HttpAnswer answer;
    answer.status = 200;
    answer.body = this->fleet.vmListJson();
    int vms = this->size.endpoints + this->size.workers;
    this->add("VM list", "bytes", "VMs", vms, static_cast<double>(answer.body.size()));
    this->add("decode a VM list", "us", "VMs", vms, CostMeter::microsecondsOf(fewRepeats, [&] {
        assertInvariant(StoreAnswers::toVms(StoreAnswers::parse(answer).value()).has_value(), "ok");
    }));
}

void CapacityProbe::measurePeerState()
{
    auto state = this->fleet.peerState(0);
    auto text = compact(PeerStateCodec::toJson(state));
    this->add("peer state, all teams busy", "bytes", "teams", this->size.teams, static_cast<double>(text.size()));
    this->add(
        "encode and decode a peer state", "us", "teams", this->size.teams, CostMeter::microsecondsOf(fewRepeats, [&] {
            auto encoded = compact(PeerStateCodec::toJson(state));
            Json::Value decoded;
            std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
            reader->parse(encoded.data(), encoded.data() + encoded.size(), &decoded, nullptr);
            assertInvariant(PeerStateCodec::fromJson(decoded).has_value(), "ok");
        }));
    state.demand.clear();
    text = compact(PeerStateCodec::toJson(state));
    this->add("peer state, no work", "bytes", "daemons", this->size.daemons, static_cast<double>(text.size()));
}

void CapacityProbe::measureAllotments()
{
    AllotmentBook book;
    for (int team = 0; team < this->size.teams; ++team) {
        for (int daemon = 0; daemon < this->size.daemons; ++daemon)
            book.assign(TeamId("team-" + std::to_string(team)), SyntheticFleet::incarnation(daemon), 3);
    }
    auto text = book.format();
    int entries = this->size.teams * this->size.daemons;
    const char* driver = "teams x daemons";
    this->add("allotment book, all teams busy", "bytes", driver, entries, static_cast<double>(text.size()));
    this->add("decode an allotment book", "us", driver, entries,
        CostMeter::microsecondsOf(fewRepeats, [&] { assertInvariant(AllotmentBook::parse(text).has_value(), "ok"); }));
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
        inputs.emplace_back(PeerHeard { state, clock.current() });
    }
    this->answerAllotments(plane, clock.current(), plane.tick(clock.current(), std::move(inputs)));
    int vms = this->size.endpoints + this->size.workers;
    this->add("request plane", "bytes of heap", "VMs", vms, CostMeter::heapBytes() - before);
    this->add(
        "request plane's tick, no work", "us", "teams", this->size.teams, CostMeter::microsecondsOf(manyRepeats, [&] {
            clock.advance(tickInterval);
            auto outputs = plane.tick(clock.current(), { StoreConfirmed { clock.current(), 1 } });
            this->answerAllotments(plane, clock.current(), outputs);
        }));
    this->add("request plane takes a VM list", "us", "VMs", vms, CostMeter::microsecondsOf(fewRepeats, [&] {
        plane.tick(clock.current(), { EndpointsListed { this->fleet.vms(), {}, 0 } });
    }));
    auto heard = this->fleet.peerState(1);
    this->add(
        "request plane takes a peer state", "us", "teams", this->size.teams, CostMeter::microsecondsOf(fewRepeats, [&] {
            plane.tick(clock.current(), { PeerHeard { heard, clock.current() } });
        }));
}

void CapacityProbe::answerAllotments(RequestPlane& plane, Instant now, const std::vector<RequestOutput>& outputs)
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
    this->add("maintenance plane", "bytes of heap", "VMs", vms, CostMeter::heapBytes() - before);
    this->add("maintenance plane's tick, no wave", "us", "VMs", vms, CostMeter::microsecondsOf(fewRepeats, [&] {
        clock.advance(Milliseconds(250));
        plane.tick(clock.current(), {});
    }));
}

} // namespace Greengage
