#include <fleet/maintenance/ledger/MaintenanceLedger.h>

#include <config/json/JsonText.h>

#include <algorithm>

namespace Greengage {

namespace {

template <typename Entries, typename Matches> auto* findEntry(Entries& entries, const Matches& matches)
{
    auto found = std::find_if(entries.begin(), entries.end(), matches);
    return found == entries.end() ? nullptr : &*found;
}

Json::Value encodeVm(const VmMaintenance& entry)
{
    Json::Value value;
    value["vm"] = entry.vm.string();
    value["wave"] = entry.wave.string();
    value["zone"] = entry.zone.string();
    value["rack"] = entry.rack.string();
    value["phase"] = std::string(nameOf(entry.phase));
    value["from"] = entry.from.string();
    value["revision"] = Json::UInt64(entry.revision);
    if (!entry.to.isEmpty())
        value["to"] = entry.to.string();
    if (entry.documentRevision != 0)
        value["documentRevision"] = Json::UInt64(entry.documentRevision);
    if (entry.isRollback)
        value["rollback"] = true;
    return value;
}

Json::Value encodeNames(const std::vector<VmId>& vms)
{
    Json::Value names(Json::arrayValue);
    for (const auto& vm : vms)
        names.append(vm.string());
    return names;
}

Json::Value encodeWave(const WaveProgress& wave)
{
    Json::Value value;
    value["wave"] = wave.wave.string();
    value["state"] = std::string(nameOf(wave.state));
    value["lastCommand"] = wave.lastCommand;
    value["remaining"] = encodeNames(wave.remaining);
    value["stuck"] = encodeNames(wave.stuck);
    value["done"] = Json::Value(Json::arrayValue);
    for (const auto& moved : wave.done) {
        Json::Value entry(Json::arrayValue);
        entry.append(moved.vm.string());
        entry.append(moved.from.string());
        value["done"].append(entry);
    }
    return value;
}

/// Reads members of a stored ledger and records the first that has the wrong type.
class LedgerReader {
public:
    std::string text(const Json::Value& object, const char* member, bool required = true)
    {
        if (object.isObject() && object[member].isString())
            return object[member].asString();
        if (required || (object.isObject() && object.isMember(member)))
            this->recordError(member, "a text");
        return {};
    }

    std::uint64_t number(const Json::Value& object, const char* member, bool required = true)
    {
        if (object.isObject() && object[member].isUInt64())
            return object[member].asUInt64();
        if (required || (object.isObject() && object.isMember(member)))
            this->recordError(member, "a whole number");
        return 0;
    }

    bool flag(const Json::Value& object, const char* member)
    {
        if (!object.isObject() || !object.isMember(member))
            return false;
        if (!object[member].isBool())
            this->recordError(member, "true or false");
        return object[member].isBool() && object[member].asBool();
    }

    template <NamedEnum Enum> Enum enumerator(const Json::Value& object, const char* member)
    {
        auto value = enumFromName<Enum>(this->text(object, member));
        if (!value)
            this->recordError(member, "one of the known names");
        return value.value_or(Enum {});
    }

    Json::Value list(const Json::Value& object, const char* member)
    {
        if (object.isObject() && object[member].isArray())
            return object[member];
        this->recordError(member, "a list");
        return Json::Value(Json::arrayValue);
    }

    std::vector<VmId> names(const Json::Value& object, const char* member)
    {
        std::vector<VmId> vms;
        for (const auto& name : this->list(object, member)) {
            if (!name.isString())
                this->recordError(member, "a list of texts");
            else
                vms.emplace_back(name.asString());
        }
        return vms;
    }

    void recordError(const char* member, const char* expected)
    {
        if (this->error.empty())
            this->error = std::string(member) + ": expected " + expected;
    }

    const std::string& firstError() const { return this->error; }

private:
    std::string error;
};

VmMaintenance decodeVm(LedgerReader& reader, const Json::Value& value)
{
    VmMaintenance entry;
    entry.vm = VmId(reader.text(value, "vm"));
    entry.wave = WaveId(reader.text(value, "wave"));
    entry.zone = ZoneId(reader.text(value, "zone"));
    entry.rack = RackId(reader.text(value, "rack"));
    entry.phase = reader.enumerator<MaintenancePhase>(value, "phase");
    entry.from = PoolId(reader.text(value, "from"));
    entry.to = PoolId(reader.text(value, "to", false));
    entry.revision = reader.number(value, "revision");
    entry.documentRevision = reader.number(value, "documentRevision", false);
    entry.isRollback = reader.flag(value, "rollback");
    return entry;
}

WaveProgress decodeWave(LedgerReader& reader, const Json::Value& value)
{
    WaveProgress wave;
    wave.wave = WaveId(reader.text(value, "wave"));
    wave.state = reader.enumerator<WaveState>(value, "state");
    wave.lastCommand = reader.text(value, "lastCommand");
    wave.remaining = reader.names(value, "remaining");
    wave.stuck = reader.names(value, "stuck");
    for (const auto& entry : reader.list(value, "done")) {
        if (entry.isArray() && entry.size() == 2 && entry[0].isString() && entry[1].isString())
            wave.done.push_back({ VmId(entry[0].asString()), PoolId(entry[1].asString()) });
        else
            reader.recordError("done", "pairs of a VM and a pool");
    }
    return wave;
}

} // namespace

VmMaintenance* MaintenanceLedger::find(const VmId& vm)
{
    return findEntry(this->vms, [&](const VmMaintenance& entry) { return entry.vm == vm; });
}

const VmMaintenance* MaintenanceLedger::find(const VmId& vm) const
{
    return findEntry(this->vms, [&](const VmMaintenance& entry) { return entry.vm == vm; });
}

WaveProgress* MaintenanceLedger::find(const WaveId& wave)
{
    return findEntry(this->waves, [&](const WaveProgress& entry) { return entry.wave == wave; });
}

const WaveProgress* MaintenanceLedger::find(const WaveId& wave) const
{
    return findEntry(this->waves, [&](const WaveProgress& entry) { return entry.wave == wave; });
}

void MaintenanceLedger::erase(const VmId& vm)
{
    std::erase_if(this->vms, [&](const VmMaintenance& entry) { return entry.vm == vm; });
}

std::set<VmId> MaintenanceLedger::outOfService() const
{
    std::set<VmId> ids;
    for (const auto& entry : this->vms)
        ids.insert(entry.vm);
    return ids;
}

std::string MaintenanceLedger::encode() const
{
    Json::Value root;
    root["revision"] = Json::UInt64(this->revision);
    root["documentRevision"] = Json::UInt64(this->documentRevision);
    root["vms"] = Json::Value(Json::arrayValue);
    for (const auto& entry : this->vms)
        root["vms"].append(encodeVm(entry));
    root["waves"] = Json::Value(Json::arrayValue);
    for (const auto& wave : this->waves)
        root["waves"].append(encodeWave(wave));
    return writeJson(root);
}

Result<MaintenanceLedger, LedgerError> MaintenanceLedger::decode(const std::string& text)
{
    MaintenanceLedger ledger;
    if (text.empty())
        return ledger;
    auto parsed = parseJson(text);
    if (parsed.has_error())
        return LedgerError { parsed.error().message };
    const auto& root = parsed.value();
    LedgerReader reader;
    ledger.revision = reader.number(root, "revision");
    ledger.documentRevision = reader.number(root, "documentRevision");
    for (const auto& entry : reader.list(root, "vms"))
        ledger.vms.push_back(decodeVm(reader, entry));
    for (const auto& wave : reader.list(root, "waves"))
        ledger.waves.push_back(decodeWave(reader, wave));
    if (!reader.firstError().empty())
        return LedgerError { reader.firstError() };
    return ledger;
}

} // namespace Greengage
