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
    if (!this->openOrders.empty())
        value["open_orders"] = this->openOrders;
    return toCompactJson(value);
}

std::optional<LeaderRecord> LeaderRecord::decode(std::string_view text)
{
    auto value = parseJsonObject(text);
    if (!value || !(*value)["daemon"].isString() || !(*value)["incarnation"].isString() || !(*value)["epoch"].isUInt())
        return std::nullopt;
    LeaderRecord record { DaemonId((*value)["daemon"].asString()), IncarnationId((*value)["incarnation"].asString()),
        (*value)["epoch"].asUInt() };
    const Json::Value& earlierOrdersMs = (*value)["earlier_orders_ms"];
    if (earlierOrdersMs.isUInt())
        record.earlierOrdersFor = Milliseconds(earlierOrdersMs.asUInt());
    if ((*value)["open_orders"].isString())
        record.openOrders = (*value)["open_orders"].asString();
    return record;
}

} // namespace Greengage
