#include <coordinator/leadership/LeaderRecord.h>

#include <jobs/codec/CompactJson.h>

namespace Greengage {

std::string LeaderRecord::encode() const
{
    Json::Value value(Json::objectValue);
    value["daemon"] = this->daemon.string();
    value["incarnation"] = this->incarnation.string();
    value["epoch"] = this->epoch;
    if (this->earlierOrdersFor)
        value["earlier_orders_ms"] = Json::Int64(this->earlierOrdersFor->count());
    return toCompactJson(value);
}

std::optional<LeaderRecord> LeaderRecord::decode(std::string_view text)
{
    auto value = parseJsonObject(text);
    if (!value || !(*value)["daemon"].isString() || !(*value)["incarnation"].isString() || !(*value)["epoch"].isUInt())
        return std::nullopt;
    LeaderRecord record { DaemonId((*value)["daemon"].asString()), IncarnationId((*value)["incarnation"].asString()),
        (*value)["epoch"].asUInt(), std::nullopt };
    const Json::Value& earlierOrders = (*value)["earlier_orders_ms"];
    if (earlierOrders.isUInt())
        record.earlierOrdersFor = Milliseconds(earlierOrders.asUInt());
    return record;
}

} // namespace Greengage
