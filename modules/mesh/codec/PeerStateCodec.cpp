#include <mesh/codec/PeerStateCodec.h>

#include <json/value.h>
#include <limits>

namespace Greengage {

namespace {

constexpr Json::ArrayIndex maxDemandEntries = 20000;
constexpr Json::ArrayIndex maxObservations = 1000;
constexpr Json::ArrayIndex maxDrainingVms = 10000;
constexpr std::size_t maxNameBytes = 256;
/// Encodes the age of what was never seen or confirmed.
constexpr Json::Int64 never = -1;

Json::Value toJson(Milliseconds age) { return age == Milliseconds::max() ? never : Json::Int64(age.count()); }

/// Encodes demand as {"<queue>":{"<team>":[running, waiting]}}, so that each queue name is sent once.
Json::Value toJson(const std::vector<TeamDemand>& entries)
{
    Json::Value queues(Json::objectValue);
    for (const TeamDemand& entry : entries) {
        Json::Value counts(Json::arrayValue);
        counts.append(entry.running);
        counts.append(entry.waiting);
        queues[entry.queue.string()][entry.team.string()] = counts;
    }
    return queues;
}

/// Encodes observations of other daemons as {"<zone>":{"<incarnation>":age in ms}}, by availability zone.
Json::Value toJson(const std::vector<PeerObservation>& entries)
{
    Json::Value zones(Json::objectValue);
    for (const PeerObservation& entry : entries)
        zones[entry.zone.string()][entry.incarnation.string()] = toJson(entry.age);
    return zones;
}

bool isCount(const Json::Value& value) { return value.isInt() && value.asInt() >= 0; }

bool isAge(const Json::Value& value) { return value.isInt64() && value.asInt64() >= never; }

Milliseconds ageOf(const Json::Value& value)
{
    return value.asInt64() == never ? Milliseconds::max() : Milliseconds(value.asInt64());
}

/// Reads members of an object and keeps the first error, so that the caller checks for errors once.
class MemberReader {
public:
    explicit MemberReader(const Json::Value& source)
        : source(source)
    {
        if (!source.isObject())
            this->error = "the state is not an object";
    }

    std::string string(const char* name)
    {
        if (!this->has(name, [](const Json::Value& value) { return value.isString(); }))
            return {};
        std::string value = this->source[name].asString();
        if (value.size() > maxNameBytes)
            this->error = std::string(name) + " is too long";
        return value;
    }

    std::uint64_t uint64(const char* name)
    {
        return this->has(name, [](const Json::Value& value) { return value.isUInt64(); })
            ? this->source[name].asUInt64()
            : 0;
    }

    bool boolean(const char* name)
    {
        return this->has(name, [](const Json::Value& value) { return value.isBool(); }) && this->source[name].asBool();
    }

    Milliseconds age(const char* name)
    {
        return this->has(name, isAge) ? ageOf(this->source[name]) : Milliseconds::max();
    }

    const Json::Value& object(const char* name)
    {
        static const Json::Value empty(Json::objectValue);
        return this->has(name, [](const Json::Value& value) { return value.isObject(); }) ? this->source[name] : empty;
    }

    const Json::Value& list(const char* name, Json::ArrayIndex maxEntries)
    {
        static const Json::Value empty(Json::arrayValue);
        auto fits = [maxEntries](const Json::Value& value) { return value.isArray() && value.size() <= maxEntries; };
        return this->has(name, fits) ? this->source[name] : empty;
    }

    std::string error;

private:
    template <typename Check> bool has(const char* name, Check check)
    {
        if (!this->error.empty())
            return false;
        if (this->source.isMember(name) && check(this->source[name]))
            return true;
        this->error = std::string(name) + " is missing, of the wrong type or out of range";
        return false;
    }

    const Json::Value& source;
};

MeshError malformed(const char* detail) { return { MeshErrorCode::Malformed, detail }; }

/// Calls `readEntry(outer name, inner name, value)` for each member of an object of objects. Returns false if an inner
/// value is not an object, a name is too long, there are more than `maxEntries` members, or `readEntry` returns false.
template <typename ReadEntry>
bool readNested(const Json::Value& outer, std::size_t maxEntries, const ReadEntry& readEntry)
{
    std::size_t count = 0;
    for (const std::string& outerName : outer.getMemberNames()) {
        const Json::Value& inner = outer[outerName];
        if (!inner.isObject() || outerName.size() > maxNameBytes)
            return false;
        for (const std::string& innerName : inner.getMemberNames()) {
            if (++count > maxEntries || innerName.size() > maxNameBytes
                || !readEntry(outerName, innerName, inner[innerName]))
                return false;
        }
    }
    return true;
}

bool readDemand(const Json::Value& queues, std::vector<TeamDemand>& demand)
{
    return readNested(
        queues, maxDemandEntries, [&](const std::string& queue, const std::string& team, const Json::Value& counts) {
            if (!counts.isArray() || counts.size() != 2 || !isCount(counts[0]) || !isCount(counts[1]))
                return false;
            demand.push_back({ QueueId(queue), TeamId(team), counts[0].asInt(), counts[1].asInt() });
            return true;
        });
}

bool readObservations(const Json::Value& zones, std::vector<PeerObservation>& observations)
{
    return readNested(
        zones, maxObservations, [&](const std::string& zone, const std::string& incarnation, const Json::Value& age) {
            if (!isAge(age))
                return false;
            observations.push_back({ IncarnationId(incarnation), ZoneId(zone), ageOf(age) });
            return true;
        });
}

Result<void, MeshError> readLists(MemberReader& reader, PeerState& state)
{
    for (const Json::Value& item : reader.list("busyDrainingVms", maxDrainingVms)) {
        if (!item.isString())
            return malformed("busyDrainingVms has an entry that is not a string");
        state.busyDrainingVms.emplace_back(item.asString());
    }
    if (!readDemand(reader.object("demand"), state.demand))
        return malformed("demand must hold pairs of counts by queue and team");
    if (!readObservations(reader.object("sightings"), state.observations))
        return malformed("sightings must hold ages by availability zone and incarnation");
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
    value["demand"] = Greengage::toJson(state.demand);
    value["sightings"] = Greengage::toJson(state.observations);
    return value;
}

Result<PeerState, MeshError> PeerStateCodec::fromJson(const Json::Value& value)
{
    MemberReader reader(value);
    PeerState state;
    state.daemon = DaemonId(reader.string("daemon"));
    state.incarnation = IncarnationId(reader.string("incarnation"));
    state.zone = ZoneId(reader.string("zone"));
    state.appliedRevision = reader.uint64("appliedRevision");
    state.knownRevision = reader.uint64("knownRevision");
    state.confirmationAge = reader.age("confirmationAgeMs");
    state.shuttingDown = reader.boolean("shuttingDown");
    state.appliedLedgerRevision = reader.uint64("appliedLedgerRevision");
    BOOST_OUTCOME_TRY(readLists(reader, state));
    if (!reader.error.empty())
        return MeshError { MeshErrorCode::Malformed, reader.error };
    return state;
}

} // namespace Greengage
