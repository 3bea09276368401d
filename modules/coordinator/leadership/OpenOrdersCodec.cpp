#include <coordinator/leadership/OpenOrdersCodec.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <jobs/codec/CompactJson.h>
#include <jobs/tables/OpenOrders.h>

#include <algorithm>

namespace Greengage {

namespace {

enum StartColumn : Json::ArrayIndex {
    Task,
    Run,
    AgeMs,
    StartColumnCount,
};

enum LeaseColumn : Json::ArrayIndex {
    Worker,
    KnownMs,
    LongestMs,
    LeaseColumnCount,
};

/// Ages and remaining times beyond this have no effect on any wait.
constexpr std::int64_t longestSpanMs = 3'600'000;

Json::Int64 ageMs(Instant since, Instant now)
{
    auto age = std::chrono::floor<Milliseconds>(now - since).count();
    return Json::Int64(std::clamp<std::int64_t>(age, 0, longestSpanMs));
}

Json::Int64 remainingMs(const Deadline& deadline, Instant now)
{
    return Json::Int64(std::min(std::chrono::ceil<Milliseconds>(deadline.remaining(now)).count(), longestSpanMs));
}

bool isSpan(const Json::Value& value)
{
    return value.isInt64() && value.asInt64() >= 0 && value.asInt64() <= longestSpanMs;
}

bool decodeStart(const Json::Value& row, Instant now, OpenOrders& orders)
{
    if (!row.isArray() || row.size() != StartColumnCount || !row[Task].isString() || !row[Run].isUInt()
        || !isSpan(row[AgeMs]))
        return false;
    auto task = TaskName::parse(row[Task].asString());
    if (task)
        orders.starts[{ *task, row[Run].asUInt() }] = now - Milliseconds(row[AgeMs].asInt64());
    return task.has_value();
}

bool decodeLease(const Json::Value& row, Instant now, OpenOrders& orders)
{
    if (!row.isArray() || row.size() != LeaseColumnCount || !row[Worker].isString() || !isSpan(row[KnownMs])
        || !isSpan(row[LongestMs]))
        return false;
    auto after = [now](const Json::Value& span) { return Deadline::after(now, Milliseconds(span.asInt64())); };
    orders.leases[WorkerId(row[Worker].asString())] = { after(row[KnownMs]), after(row[LongestMs]) };
    return true;
}

} // namespace

std::string OpenOrdersCodec::encode(const OpenOrders& orders, Instant now) const
{
    Json::Value value(Json::objectValue);
    for (const auto& [attempt, orderedAt] : orders.starts) {
        if (value["starts"].size() == maxRows)
            break;
        Json::Value row(Json::arrayValue);
        row[Task] = attempt.first.text();
        row[Run] = attempt.second;
        row[AgeMs] = ageMs(orderedAt, now);
        value["starts"].append(row);
    }
    for (const auto& [worker, lease] : orders.leases) {
        if (value["leases"].size() == maxRows)
            break;
        Json::Value row(Json::arrayValue);
        row[Worker] = worker.string();
        row[KnownMs] = remainingMs(lease.known, now);
        row[LongestMs] = remainingMs(lease.longest, now);
        value["leases"].append(row);
    }
    return toCompactJson(value);
}

OpenOrders OpenOrdersCodec::decode(std::string_view text, Instant now) const
{
    OpenOrders orders;
    auto value = parseJsonObject(text);
    std::size_t unreadable = value ? 0 : 1;
    auto decodeRows = [&](const char* field, auto decodeRow) {
        if (!value || (*value)[field].isNull())
            return;
        const Json::Value& rows = (*value)[field];
        if (!rows.isArray()) {
            unreadable += 1;
            return;
        }
        for (const auto& row : rows)
            unreadable += decodeRow(row, now, orders) ? 0 : 1;
    };
    decodeRows("starts", decodeStart);
    decodeRows("leases", decodeLease);
    if (unreadable)
        writeLog(LogLevel::Error, LogLine("stored_open_orders_unreadable").add("rows", unreadable));
    return orders;
}

} // namespace Greengage
