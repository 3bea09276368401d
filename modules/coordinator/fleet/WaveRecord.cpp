#include <coordinator/fleet/WaveRecord.h>

#include <jobs/codec/CompactJson.h>

namespace Greengage {

std::string WaveRecord::encode() const
{
    Json::Value value(Json::objectValue);
    value["completed"] = this->isCompleted;
    value["done"] = Json::Value(Json::arrayValue);
    for (const auto& vm : this->done)
        value["done"].append(vm.string());
    return toCompactJson(value);
}

std::optional<WaveRecord> WaveRecord::decode(std::string_view text)
{
    auto value = parseJsonObject(text);
    if (!value || !(*value)["completed"].isBool() || !(*value)["done"].isArray())
        return std::nullopt;
    WaveRecord record;
    record.isCompleted = (*value)["completed"].asBool();
    for (const auto& vm : (*value)["done"]) {
        if (!vm.isString())
            return std::nullopt;
        record.done.insert(VmId(vm.asString()));
    }
    return record;
}

} // namespace Greengage
