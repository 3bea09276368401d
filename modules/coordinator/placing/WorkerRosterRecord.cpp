#include <coordinator/placing/WorkerRosterRecord.h>

#include <jobs/codec/CompactJson.h>

namespace Greengage {

namespace {

enum Column : Json::ArrayIndex {
    Id,
    Pool,
    Address,
    Port,
    Incarnation,
    ColumnCount,
};

} // namespace

std::string WorkerRosterRecord::encode() const
{
    Json::Value value(Json::objectValue);
    value["workers"] = Json::Value(Json::arrayValue);
    for (const auto& worker : this->workers) {
        Json::Value row(Json::arrayValue);
        row[Id] = worker.id.string();
        row[Pool] = worker.pool.string();
        row[Address] = worker.address;
        row[Port] = worker.port;
        row[Incarnation] = Json::Int64(worker.incarnationUnixMs);
        value["workers"].append(row);
    }
    value["restarted"] = Json::Value(Json::arrayValue);
    for (const auto& worker : this->restarted)
        value["restarted"].append(worker.string());
    return toCompactJson(value);
}

std::optional<WorkerRosterRecord> WorkerRosterRecord::decode(std::string_view text)
{
    auto value = parseJsonObject(text);
    if (!value || !(*value)["workers"].isArray())
        return std::nullopt;
    WorkerRosterRecord record;
    try {
        for (const auto& row : (*value)["workers"]) {
            if (!row.isArray() || row.size() != ColumnCount)
                return std::nullopt;
            WorkerInfo worker;
            worker.id = WorkerId(row[Id].asString());
            worker.pool = PoolId(row[Pool].asString());
            worker.address = row[Address].asString();
            worker.port = static_cast<std::uint16_t>(row[Port].asUInt());
            worker.incarnationUnixMs = row[Incarnation].asInt64();
            record.workers.push_back(std::move(worker));
        }
        // The release before did not write this.
        for (const auto& worker : (*value)["restarted"])
            record.restarted.emplace(worker.asString());
    } catch (const Json::Exception&) {
        // A column has another type, so the text was not written by `encode`.
        return std::nullopt;
    }
    return record;
}

} // namespace Greengage
