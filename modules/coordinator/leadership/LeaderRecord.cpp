#include <coordinator/leadership/LeaderRecord.h>

#include <jobs/codec/CompactJson.h>

namespace Greengage {

std::string LeaderRecord::encode() const
{
    Json::Value value(Json::objectValue);
    value["daemon"] = this->daemon.string();
    value["incarnation"] = this->incarnation.string();
    value["epoch"] = this->epoch;
    return toCompactJson(value);
}

std::optional<LeaderRecord> LeaderRecord::decode(std::string_view text)
{
    auto value = parseJsonObject(text);
    if (!value || !(*value)["daemon"].isString() || !(*value)["incarnation"].isString() || !(*value)["epoch"].isUInt())
        return std::nullopt;
    return LeaderRecord { DaemonId((*value)["daemon"].asString()), IncarnationId((*value)["incarnation"].asString()),
        (*value)["epoch"].asUInt() };
}

} // namespace Greengage
