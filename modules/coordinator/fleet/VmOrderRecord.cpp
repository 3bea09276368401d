#include <coordinator/fleet/VmOrderRecord.h>

#include <jobs/codec/CompactJson.h>

namespace Greengage {

std::string VmOrderRecord::encode() const
{
    Json::Value value(Json::objectValue);
    value["epoch"] = this->epoch;
    value["vms"] = Json::Value(Json::arrayValue);
    for (const auto& vm : this->vms)
        value["vms"].append(vm.string());
    return toCompactJson(value);
}

std::optional<VmOrderRecord> VmOrderRecord::decode(std::string_view text)
{
    auto value = parseJsonObject(text);
    if (!value || !(*value)["epoch"].isUInt() || !(*value)["vms"].isArray())
        return std::nullopt;
    VmOrderRecord record;
    record.epoch = (*value)["epoch"].asUInt();
    for (const auto& vm : (*value)["vms"]) {
        if (!vm.isString())
            return std::nullopt;
        record.vms.insert(VmId(vm.asString()));
    }
    return record;
}

} // namespace Greengage
