#include <store/store/StoreAnswers.h>

#include <store/http/HttpResponse.h>
#include <store/store/StoreEntry.h>
#include <store/store/WatchResult.h>
#include <store/vms/RebootStatus.h>
#include <store/vms/VmRecord.h>

#include <json/json.h>
#include <limits>
#include <memory>

namespace Greengage::StoreAnswers {

namespace {

constexpr int maxNesting = 32;

StoreError malformed(std::string detail) { return { StoreErrorCode::Malformed, 0, std::move(detail) }; }

bool isVersion(const Json::Value& value) { return value.isUInt64(); }

Result<StoreEntry, StoreError> toListedEntry(const Json::Value& json)
{
    if (!json.isObject() || !json["key"].isString() || !isVersion(json["version"]))
        return malformed("a listed entry has no text \"key\" or no valid \"version\"");
    if (!json["value"].isString() && !json["value"].isNull())
        return malformed("the \"value\" of a listed entry is not text");
    return StoreEntry { json["key"].asString(), json["value"].asString(), json["version"].asUInt64() };
}

Result<VmRecord, StoreError> toVm(const Json::Value& json)
{
    if (!json.isObject())
        return malformed("a listed VM is not a JSON object");
    for (const char* field : { "id", "address", "zone", "rack", "state" }) {
        if (!json[field].isString())
            return malformed(std::string("a listed VM has no text field ") + field);
    }
    auto state = enumFromName<VmState>(json["state"].asString());
    if (!state || !json["port"].isUInt() || json["port"].asUInt() > std::numeric_limits<std::uint16_t>::max())
        return malformed("a listed VM has an unknown \"state\" or an invalid \"port\"");
    return VmRecord { VmId(json["id"].asString()), json["address"].asString(),
        static_cast<std::uint16_t>(json["port"].asUInt()), ZoneId(json["zone"].asString()),
        RackId(json["rack"].asString()), *state };
}

} // namespace

Result<Json::Value, StoreError> parse(const HttpResponse& answer)
{
    if (answer.status != 200)
        return malformed("HTTP status is not 200: " + std::to_string(answer.status));
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = maxNesting;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value json;
    std::string errors;
    const char* begin = answer.body.data();
    try {
        if (!reader->parse(begin, begin + answer.body.size(), &json, &errors) || !json.isObject())
            return malformed("the answer is not a JSON object");
    } catch (const Json::Exception& exception) {
        // jsoncpp throws if the nesting is too deep.
        return malformed(exception.what());
    }
    return json;
}

Result<StoreEntry, StoreError> toEntry(const Json::Value& json, const std::string& key)
{
    if (!json["found"].isBool())
        return malformed("the read answer has no boolean \"found\"");
    if (!json["found"].asBool())
        return StoreError { StoreErrorCode::NotFound, 0, key };
    if (!json["value"].isString() || !isVersion(json["version"]))
        return malformed("the read answer has no text \"value\" or no valid \"version\"");
    return StoreEntry { key, json["value"].asString(), json["version"].asUInt64() };
}

Result<std::uint64_t, StoreError> toVersion(const Json::Value& json)
{
    if (json["error"].isString() && json["error"].asString() == "lease_lapsed")
        return StoreError { StoreErrorCode::LeaseExpired, 0, "the lease has lapsed" };
    if (!json["written"].isBool() || !isVersion(json["version"]))
        return malformed("the write answer has no boolean \"written\" or no valid \"version\"");
    if (!json["written"].asBool())
        return StoreError { StoreErrorCode::Conflict, json["version"].asUInt64(),
            "the key has another version than expected" };
    return json["version"].asUInt64();
}

Result<std::vector<StoreEntry>, StoreError> toEntries(const Json::Value& json)
{
    if (!json["entries"].isArray())
        return malformed("the answer has no \"entries\" array");
    std::vector<StoreEntry> entries;
    for (const auto& item : json["entries"]) {
        BOOST_OUTCOME_TRY(entry, toListedEntry(item));
        entries.push_back(std::move(entry));
    }
    return entries;
}

Result<WatchResult, StoreError> toWatchResult(const Json::Value& json)
{
    if (!isVersion(json["storeRevision"]))
        return malformed("the watch answer has no valid \"storeRevision\"");
    BOOST_OUTCOME_TRY(entries, toEntries(json));
    return WatchResult { json["storeRevision"].asUInt64(), std::move(entries) };
}

Result<std::string, StoreError> toLeaseId(const Json::Value& json)
{
    if (!json["leaseId"].isString() || json["leaseId"].asString().empty())
        return malformed("the lease answer has no \"leaseId\"");
    return json["leaseId"].asString();
}

Result<bool, StoreError> toRenewed(const Json::Value& json)
{
    if (!json["renewed"].isBool())
        return malformed("the renewal answer has no boolean \"renewed\"");
    if (!json["renewed"].asBool())
        return StoreError { StoreErrorCode::LeaseExpired, 0, "the lease has lapsed" };
    return true;
}

Result<std::vector<VmRecord>, StoreError> toVms(const Json::Value& json)
{
    if (!json["vms"].isArray())
        return malformed("the VM list answer has no \"vms\" array");
    std::vector<VmRecord> vms;
    for (const auto& item : json["vms"]) {
        BOOST_OUTCOME_TRY(vm, toVm(item));
        vms.push_back(std::move(vm));
    }
    return vms;
}

Result<RebootStatus, StoreError> toRebootStatus(const Json::Value& json)
{
    if (!json["operation"].isUInt64() || !json["done"].isBool())
        return malformed("the reboot answer has no valid \"operation\" or no boolean \"done\"");
    return RebootStatus { json["operation"].asUInt64(), json["done"].asBool() };
}

} // namespace Greengage::StoreAnswers
