#include <daemon/admin/WaveApi.h>

#include <config/json/JsonText.h>
#include <config/model/Document.h>
#include <core/text/Digest.h>
#include <daemon/configuration/KnownConfiguration.h>
#include <fleet/maintenance/plan/WavePlan.h>
#include <store/vms/VmRecord.h>

#include <algorithm>

namespace Greengage {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr std::size_t commandIdBytes = 8;
/// How long a plan expects each VM to be out of service.
constexpr Seconds expectedTimePerVm { 30 };

int statusOf(CommandOutcome outcome)
{
    switch (outcome) {
    case CommandOutcome::Accepted:
        return statusOk;
    case CommandOutcome::UnknownWave:
        return statusNotFound;
    case CommandOutcome::WrongState:
        return statusConflict;
    case CommandOutcome::NotAccepted:
    case CommandOutcome::Unknown:
        return statusUnavailable;
    }
    return statusUnavailable;
}

AdminResponse toResponse(CommandOutcome outcome)
{
    Json::Value value(Json::objectValue);
    value["outcome"] = std::string(nameOf(outcome));
    return { statusOf(outcome), "application/json", writeJson(value) + "\n" };
}

/// The command id from the request body, or a new random one if the body has none.
std::string commandIdOf(const std::string& body)
{
    auto parsed = parseJson(body);
    if (parsed.has_value() && parsed.value().isObject() && parsed.value()["command"].isString())
        return parsed.value()["command"].asString();
    return randomHex(commandIdBytes);
}

Json::Value toJson(const WavePlan& plan, const WaveId& wave)
{
    Json::Value value(Json::objectValue);
    value["wave"] = wave.string();
    value["expectedSeconds"] = Json::Int64(plan.duration.count());
    value["lowerBoundSeconds"] = Json::Int64(plan.lowerBound.count());
    value["bufferVms"] = plan.maxOutOfService;
    value["steps"] = Json::Value(Json::arrayValue);
    for (const WavePlanStep& step : plan.steps) {
        Json::Value line(Json::objectValue);
        line["vm"] = step.vm.string();
        line["startSecond"] = Json::Int64(step.takenAt.count());
        line["endSecond"] = Json::Int64(step.returnedAt.count());
        value["steps"].append(line);
    }
    value["waiting"] = Json::Value(Json::arrayValue);
    for (const VmId& vm : plan.waiting)
        value["waiting"].append(vm.string());
    return value;
}

} // namespace

void WaveApi::handle(const AdminRequest& request, AdminServer::Responder respond)
{
    std::string rest = request.path.substr(std::string(pathPrefix).size());
    auto slash = rest.find('/');
    WaveId wave(rest.substr(0, slash));
    std::string action = slash == std::string::npos ? "" : rest.substr(slash + 1);
    auto verb = enumFromName<WaveVerb>(action);
    if (!request.isPost && action == "plan")
        this->plan(wave, respond);
    else if (request.isPost && verb)
        this->sources.driver.command(wave, *verb, commandIdOf(request.body),
            [respond = std::move(respond)](CommandOutcome outcome) { respond(toResponse(outcome)); });
    else
        respond({ statusNotFound, "application/json", "{\"error\":\"unknown path\"}\n" });
}

void WaveApi::plan(const WaveId& name, const AdminServer::Responder& respond)
{
    const auto& document = this->sources.configuration.document;
    if (!document) {
        respond({ statusUnavailable, "application/json", "{\"error\":\"this daemon has no document yet\"}\n" });
        return;
    }
    auto wave = std::find_if(document->waves.begin(), document->waves.end(),
        [&name](const Wave& candidate) { return candidate.name == name; });
    if (wave == document->waves.end()) {
        respond(toResponse(CommandOutcome::UnknownWave));
        return;
    }
    WavePlan plan = planWave(document, this->sources.vms, *wave, expectedTimePerVm);
    respond({ statusOk, "application/json", writeJson(toJson(plan, name)) + "\n" });
}

} // namespace Greengage
