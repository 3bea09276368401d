#include <config/admin/StatusCodec.h>

#include <config/json/JsonText.h>
#include <config/json/MemberReader.h>

namespace Greengage {

namespace {

Json::Value toJson(const DaemonStatus& status)
{
    Json::Value json(Json::objectValue);
    json["daemon"] = status.daemon.string();
    json["zone"] = status.zone.string();
    json["revision"] = Json::UInt64(status.revision);
    json["heardMillisecondsAgo"] = Json::Int64(status.lastSeenMillisecondsAgo);
    return json;
}

Json::Value toJson(const WaveStatus& status)
{
    Json::Value json(Json::objectValue);
    json["wave"] = status.wave.string();
    json["state"] = status.state;
    json["remaining"] = status.remaining;
    json["done"] = status.done;
    json["stuck"] = Json::Value(Json::arrayValue);
    for (const auto& vm : status.stuck)
        json["stuck"].append(vm.string());
    return json;
}

Json::Value toJson(const EndpointStatus& status)
{
    Json::Value json(Json::objectValue);
    json["vm"] = status.vm.string();
    json["service"] = status.service.string();
    json["state"] = status.state;
    json["running"] = status.running;
    return json;
}

template <typename Status> Json::Value toJson(const std::vector<Status>& list)
{
    Json::Value json(Json::arrayValue);
    for (const auto& status : list)
        json.append(toJson(status));
    return json;
}

void readDaemons(MemberReader& report, std::vector<DaemonStatus>& daemons)
{
    for (const auto& entry : report.list("daemons")) {
        auto reader = report.nested(entry);
        daemons.push_back({ DaemonId(reader.string("daemon")), ZoneId(reader.string("zone")), reader.uint64("revision"),
            reader.int64("heardMillisecondsAgo") });
    }
}

void readWaves(MemberReader& report, std::vector<WaveStatus>& waves)
{
    for (const auto& entry : report.list("waves")) {
        auto reader = report.nested(entry);
        WaveStatus wave;
        wave.wave = WaveId(reader.string("wave"));
        wave.state = reader.string("state");
        wave.remaining = reader.integer("remaining");
        wave.done = reader.integer("done");
        for (auto& vm : reader.strings("stuck"))
            wave.stuck.push_back(VmId(std::move(vm)));
        waves.push_back(std::move(wave));
    }
}

void readEndpoints(MemberReader& report, std::vector<EndpointStatus>& endpoints)
{
    for (const auto& entry : report.list("endpoints")) {
        auto reader = report.nested(entry);
        endpoints.push_back({ VmId(reader.string("vm")), ServiceId(reader.string("service")), reader.string("state"),
            reader.integer("running") });
    }
}

} // namespace

std::string StatusCodec::encode(const StatusReport& report)
{
    Json::Value json(Json::objectValue);
    json["daemon"] = report.daemon.string();
    json["revision"] = Json::UInt64(report.revision);
    json["inForceRevision"] = Json::UInt64(report.inForceRevision);
    json["storeReachable"] = report.storeReachable;
    json["fresh"] = report.fresh;
    json["daemons"] = toJson(report.daemons);
    json["waves"] = toJson(report.waves);
    json["endpoints"] = toJson(report.endpoints);
    return writeJson(json);
}

Result<StatusReport, CodecError> StatusCodec::decode(std::string_view text)
{
    BOOST_OUTCOME_TRY(json, parseJson(text));
    CodecError error;
    MemberReader reader(json, error);
    StatusReport report;
    report.daemon = DaemonId(reader.string("daemon"));
    report.revision = reader.uint64("revision");
    report.inForceRevision = reader.uint64("inForceRevision");
    report.storeReachable = reader.boolean("storeReachable");
    report.fresh = reader.boolean("fresh");
    readDaemons(reader, report.daemons);
    readWaves(reader, report.waves);
    readEndpoints(reader, report.endpoints);
    if (!error.message.empty())
        return error;
    return report;
}

} // namespace Greengage
