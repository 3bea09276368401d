#include <mesh/codec/PeerStateCodec.h>

#include <json/value.h>
#include <limits>

namespace Greengage {

namespace {

constexpr Json::ArrayIndex maxDemandEntries = 20000;
constexpr Json::ArrayIndex maxSightings = 1000;
constexpr Json::ArrayIndex maxDrainingVms = 10000;
constexpr std::size_t maxNameBytes = 256;
/// Stands for an age without bound.
constexpr Json::Int64 never = -1;

Json::Value toJson(Milliseconds age) { return age == Milliseconds::max() ? never : Json::Int64(age.count()); }

Json::Value toJson(const TeamDemand& demand)
{
    Json::Value value(Json::objectValue);
    value["queue"] = demand.queue.string();
    value["team"] = demand.team.string();
    value["running"] = demand.running;
    value["waiting"] = demand.waiting;
    return value;
}

Json::Value toJson(const PeerSighting& sighting)
{
    Json::Value value(Json::objectValue);
    value["incarnation"] = sighting.incarnation.string();
    value["zone"] = sighting.zone.string();
    value["ageMs"] = toJson(sighting.age);
    return value;
}

/// Reads members and remembers the first that is missing or of another type, so that the caller tests once.
class MemberReader {
public:
    explicit MemberReader(const Json::Value& object)
        : object(object)
    {
        if (!object.isObject())
            this->problem = "a value is not an object";
    }

    std::string text(const char* name)
    {
        if (!this->has(name, [](const Json::Value& value) { return value.isString(); }))
            return {};
        std::string value = this->object[name].asString();
        if (value.size() > maxNameBytes)
            this->problem = std::string(name) + " is too long";
        return value;
    }

    std::uint64_t number(const char* name)
    {
        return this->has(name, [](const Json::Value& value) { return value.isUInt64(); })
            ? this->object[name].asUInt64()
            : 0;
    }

    int count(const char* name)
    {
        return this->has(name, [](const Json::Value& value) { return value.isInt() && value.asInt() >= 0; })
            ? this->object[name].asInt()
            : 0;
    }

    bool flag(const char* name)
    {
        return this->has(name, [](const Json::Value& value) { return value.isBool(); }) && this->object[name].asBool();
    }

    Milliseconds age(const char* name)
    {
        if (!this->has(name, [](const Json::Value& value) { return value.isInt64() && value.asInt64() >= never; }))
            return Milliseconds::max();
        Json::Int64 count = this->object[name].asInt64();
        return count == never ? Milliseconds::max() : Milliseconds(count);
    }

    const Json::Value& list(const char* name, Json::ArrayIndex longest)
    {
        static const Json::Value empty(Json::arrayValue);
        auto fits = [longest](const Json::Value& value) { return value.isArray() && value.size() <= longest; };
        return this->has(name, fits) ? this->object[name] : empty;
    }

    std::string problem;

private:
    template <typename Check> bool has(const char* name, Check check)
    {
        if (!this->problem.empty())
            return false;
        if (this->object.isMember(name) && check(this->object[name]))
            return true;
        this->problem = std::string(name) + " is missing, of another type or out of range";
        return false;
    }

    const Json::Value& object;
};

Result<TeamDemand, MeshError> demandFromJson(const Json::Value& value)
{
    MemberReader reader(value);
    TeamDemand demand;
    demand.queue = QueueId(reader.text("queue"));
    demand.team = TeamId(reader.text("team"));
    demand.running = reader.count("running");
    demand.waiting = reader.count("waiting");
    if (!reader.problem.empty())
        return MeshError { MeshErrorCode::Malformed, reader.problem };
    return demand;
}

Result<PeerSighting, MeshError> sightingFromJson(const Json::Value& value)
{
    MemberReader reader(value);
    PeerSighting sighting;
    sighting.incarnation = IncarnationId(reader.text("incarnation"));
    sighting.zone = ZoneId(reader.text("zone"));
    sighting.age = reader.age("ageMs");
    if (!reader.problem.empty())
        return MeshError { MeshErrorCode::Malformed, reader.problem };
    return sighting;
}

Result<void, MeshError> readLists(MemberReader& reader, PeerState& state)
{
    for (const Json::Value& item : reader.list("busyDrainingVms", maxDrainingVms)) {
        if (!item.isString())
            return MeshError { MeshErrorCode::Malformed, "busyDrainingVms holds something else than names" };
        state.busyDrainingVms.emplace_back(item.asString());
    }
    for (const Json::Value& item : reader.list("demand", maxDemandEntries)) {
        BOOST_OUTCOME_TRY(demand, demandFromJson(item));
        state.demand.push_back(demand);
    }
    for (const Json::Value& item : reader.list("sightings", maxSightings)) {
        BOOST_OUTCOME_TRY(sighting, sightingFromJson(item));
        state.sightings.push_back(sighting);
    }
    return success();
}

} // namespace

Json::Value PeerStateCodec::toJson(const PeerState& state)
{
    Json::Value value(Json::objectValue);
    value["daemon"] = state.daemon.string();
    value["incarnation"] = state.incarnation.string();
    value["zone"] = state.zone.string();
    value["appliedRevision"] = Json::UInt64(state.appliedRevision);
    value["knownRevision"] = Json::UInt64(state.knownRevision);
    value["confirmationAgeMs"] = Greengage::toJson(state.confirmationAge);
    value["shuttingDown"] = state.shuttingDown;
    value["appliedLedgerRevision"] = Json::UInt64(state.appliedLedgerRevision);
    value["busyDrainingVms"] = Json::Value(Json::arrayValue);
    for (const VmId& vm : state.busyDrainingVms)
        value["busyDrainingVms"].append(vm.string());
    value["demand"] = Json::Value(Json::arrayValue);
    for (const TeamDemand& demand : state.demand)
        value["demand"].append(Greengage::toJson(demand));
    value["sightings"] = Json::Value(Json::arrayValue);
    for (const PeerSighting& sighting : state.sightings)
        value["sightings"].append(Greengage::toJson(sighting));
    return value;
}

Result<PeerState, MeshError> PeerStateCodec::fromJson(const Json::Value& value)
{
    MemberReader reader(value);
    PeerState state;
    state.daemon = DaemonId(reader.text("daemon"));
    state.incarnation = IncarnationId(reader.text("incarnation"));
    state.zone = ZoneId(reader.text("zone"));
    state.appliedRevision = reader.number("appliedRevision");
    state.knownRevision = reader.number("knownRevision");
    state.confirmationAge = reader.age("confirmationAgeMs");
    state.shuttingDown = reader.flag("shuttingDown");
    state.appliedLedgerRevision = reader.number("appliedLedgerRevision");
    BOOST_OUTCOME_TRY(readLists(reader, state));
    if (!reader.problem.empty())
        return MeshError { MeshErrorCode::Malformed, reader.problem };
    return state;
}

} // namespace Greengage
