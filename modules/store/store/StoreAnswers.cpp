#include <store/store/StoreAnswers.h>

#include <store/http/HttpAnswer.h>
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
        return malformed("entry without key or version");
    if (!json["value"].isString() && !json["value"].isNull())
        return malformed("entry whose value is no text");
    return StoreEntry { json["key"].asString(), json["value"].asString(), json["version"].asUInt64() };
}

Result<VmRecord, StoreError> toVm(const Json::Value& json)
{
    if (!json.isObject())
        return malformed("VM that is no object");
    for (const char* field : { "id", "address", "zone", "rack", "state" }) {
        if (!json[field].isString())
            return malformed(std::string("VM without ") + field);
    }
    auto state = enumFromName<VmState>(json["state"].asString());
    if (!state || !json["port"].isUInt() || json["port"].asUInt() > std::numeric_limits<std::uint16_t>::max())
        return malformed("VM with a wrong state or port");
    return VmRecord { VmId(json["id"].asString()), json["address"].asString(),
        static_cast<std::uint16_t>(json["port"].asUInt()), ZoneId(json["zone"].asString()),
        RackId(json["rack"].asString()), *state };
}

} // namespace

Result<Json::Value, StoreError> parse(const HttpAnswer& answer)
{
    if (answer.status != 200)
        return malformed("status " + std::to_string(answer.status));
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = maxNesting;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value json;
    std::string errors;
    const char* begin = answer.body.data();
    try {
        if (!reader->parse(begin, begin + answer.body.size(), &json, &errors) || !json.isObject())
            return malformed("answer is no JSON object");
    } catch (const Json::Exception& exception) {
        // jsoncpp throws where the nesting is too deep.
        return malformed(exception.what());
    }
    return json;
}

Result<StoreEntry, StoreError> toEntry(const Json::Value& json, const std::string& key)
{
    if (!json["found"].isBool())
        return malformed("read answer without found");
    if (!json["found"].asBool())
        return StoreError { StoreErrorCode::NotFound, 0, key };
    if (!json["value"].isString() || !isVersion(json["version"]))
        return malformed("read answer without value or version");
    return StoreEntry { key, json["value"].asString(), json["version"].asUInt64() };
}

Result<std::uint64_t, StoreError> toVersion(const Json::Value& json)
{
    if (json["error"].isString() && json["error"].asString() == "lease_lapsed")
        return StoreError { StoreErrorCode::LeaseLapsed, 0, "lease lapsed" };
    if (!json["written"].isBool() || !isVersion(json["version"]))
        return malformed("write answer without written or version");
    if (!json["written"].asBool())
        return StoreError { StoreErrorCode::Conflict, json["version"].asUInt64(), "version differs" };
    return json["version"].asUInt64();
}

Result<std::vector<StoreEntry>, StoreError> toEntries(const Json::Value& json)
{
    if (!json["entries"].isArray())
        return malformed("answer without entries");
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
        return malformed("watch answer without storeRevision");
    BOOST_OUTCOME_TRY(entries, toEntries(json));
    return WatchResult { json["storeRevision"].asUInt64(), std::move(entries) };
}

Result<std::string, StoreError> toLeaseId(const Json::Value& json)
{
    if (!json["leaseId"].isString() || json["leaseId"].asString().empty())
        return malformed("answer without leaseId");
    return json["leaseId"].asString();
}

Result<bool, StoreError> toRenewed(const Json::Value& json)
{
    if (!json["renewed"].isBool())
        return malformed("answer without renewed");
    if (!json["renewed"].asBool())
        return StoreError { StoreErrorCode::LeaseLapsed, 0, "lease lapsed" };
    return true;
}

Result<std::vector<VmRecord>, StoreError> toVms(const Json::Value& json)
{
    if (!json["vms"].isArray())
        return malformed("answer without vms");
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
        return malformed("answer without operation and done");
    return RebootStatus { json["operation"].asUInt64(), json["done"].asBool() };
}

} // namespace Greengage::StoreAnswers
