#include <coordinator/fleet/WaveRecord.h>

#include <jobs/codec/CompactJson.h>

namespace Greengage {

std::string WaveRecord::encode() const
{
    Json::Value value(Json::objectValue);
    value["completed"] = this->isCompleted;
    value["done"] = Json::Value(Json::arrayValue);
    for (const auto& machine : this->done)
        value["done"].append(machine.string());
    return toCompactJson(value);
}

std::optional<WaveRecord> WaveRecord::decode(std::string_view text)
{
    auto value = parseJsonObject(text);
    if (!value || !(*value)["completed"].isBool() || !(*value)["done"].isArray())
        return std::nullopt;
    WaveRecord record;
    record.isCompleted = (*value)["completed"].asBool();
    for (const auto& machine : (*value)["done"]) {
        if (!machine.isString())
            return std::nullopt;
        record.done.insert(VmId(machine.asString()));
    }
    return record;
}

} // namespace Greengage
